package walkpost.fleet.shell;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardSettings;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.MemberSettings;

/** A process that is one member: it does what it reads a line at a time, tells what it hears, and ends with its input. */
final class MemberMain {
    private MemberMain() { }

    /** What it is told, a line each. */
    private static final class Teller implements FleetListener {
        @Override
        public void member(Member member) { }

        @Override
        public void entryReceived(Entry entry) { }

        @Override
        public void stale(Entry.Key key) { }

        @Override
        public void effectiveOrderChanged(Order.Key key, EffectiveOrder acting) {
            tell("stands " + key.subject() + " " + acting.chosen().id() + " " + acting.payload() + " rivals " + acting.rivals().size());
        }

        @Override
        public void caughtUpChanged(boolean level) {
            tell("level " + level);
        }
    }

    private static synchronized void tell(String line) {
        System.out.println(line);
        System.out.flush();
    }

    public static void main(String[] args) throws Exception {
        FleetFile file = FleetFile.read(Path.of(args[0]), Map.of());
        var full = new AtomicBoolean();
        Fleet fleet = Fleet.open(file, MemberSettings.defaults(), ShardSettings.defaults(), Directory.Settings.USUAL,
                (path, end) -> new LogFile(path, end) {
                    @Override
                    void write(byte[] record) throws IOException {
                        if (full.get()) {
                            throw new IOException("No space left on device");
                        }
                        super.write(record);
                    }
                });
        tell("address " + fleet.address());
        fleet.listen(Runnable::run, new Teller());
        var in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] words = line.split(" ");
            if (words[0].equals("order")) {
                fleet.order(new Order.Key("exclusion", words[1]), words[2], words[3].equals("-") ? "" : words[3], words[4])
                        .whenComplete((order, why) -> tell(why == null ? "acknowledged " + order.id()
                                : "refused " + words[2] + " " + why.getClass().getSimpleName()));
            } else if (words[0].equals("held")) {
                fleet.held(new Order.Key("exclusion", words[1]), words[2])
                        .thenAccept(found -> tell("held " + found.held() + " of " + found.of() + " silent " + found.silent()));
            } else if (words[0].equals("state")) {
                tell("state level " + fleet.isCaughtUp() + " feeds " + fleet.feeds()
                        + " members " + fleet.members() + " " + fleet.counters());
            } else if (words[0].equals("full")) {
                full.set(true);
                tell("full");
            }
        }
        fleet.close();
    }
}
