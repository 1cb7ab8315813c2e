package walkpost.fleet.shell;

import java.util.List;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.ShardAction;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.observe.ObserveMessage;

/** Entries grow older by what they wait here, on their way in or out. */
final class Ages {
    /** Microseconds after which a message is not sent any more, as {@link walkpost.fleet.copy.ShardAction.Send} has it. */
    static final long LATE_US = 1_000_000;

    private Ages() { }

    static ShardMessage aged(ShardMessage message, long waitedUs) {
        return message instanceof ShardMessage.Entries told
                ? new ShardMessage.Entries(told.fetched(), aged(told.facts(), waitedUs)) : message;
    }

    static ObserveMessage aged(ObserveMessage message, long waitedUs) {
        if (message instanceof ObserveMessage.ReportEntries report) {
            return new ObserveMessage.ReportEntries(aged(report.facts(), waitedUs));
        }
        return message instanceof ObserveMessage.EntriesReply told
                ? new ObserveMessage.EntriesReply(told.seq(), told.part(), told.parts(), aged(told.facts(), waitedUs)) : message;
    }

    private static List<Entry> aged(List<Entry> entries, long waitedUs) {
        return entries.stream().map(entry -> aged(entry, waitedUs)).toList();
    }

    private static Entry aged(Entry entry, long waitedUs) {
        // An age that makes no sense is left for the machine to refuse.
        return entry.ageUs() < 0 || entry.ageUs() > Long.MAX_VALUE - waitedUs ? entry
                : new Entry(entry.key(), entry.incarnation(), entry.version(), entry.payload(), entry.ageUs() + waitedUs);
    }
}
