package walkpost.fleet.shell;

import java.util.List;
import walkpost.fleet.copy.CopyMessage;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.observe.ObserveMessage;

/** Facts grow older by what they wait here, on their way in or out. */
final class Ages {
    /** Microseconds after which a message is not sent any more, as {@link walkpost.fleet.copy.CopyAction.Send} has it. */
    static final long LATE_US = 1_000_000;

    private Ages() { }

    static CopyMessage aged(CopyMessage message, long waitedUs) {
        return message instanceof CopyMessage.Facts told ? new CopyMessage.Facts(told.fetched(), aged(told.facts(), waitedUs)) : message;
    }

    static ObserveMessage aged(ObserveMessage message, long waitedUs) {
        if (message instanceof ObserveMessage.Report report) {
            return new ObserveMessage.Report(aged(report.facts(), waitedUs));
        }
        return message instanceof ObserveMessage.Facts told
                ? new ObserveMessage.Facts(told.seq(), told.part(), told.parts(), aged(told.facts(), waitedUs)) : message;
    }

    private static List<Fact> aged(List<Fact> facts, long waitedUs) {
        return facts.stream().map(fact -> aged(fact, waitedUs)).toList();
    }

    private static Fact aged(Fact fact, long waitedUs) {
        // An age that makes no sense is left for the machine to refuse.
        return fact.ageUs() < 0 || fact.ageUs() > Long.MAX_VALUE - waitedUs ? fact
                : new Fact(fact.key(), fact.incarnation(), fact.version(), fact.payload(), fact.ageUs() + waitedUs);
    }
}
