package walkpost.app;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Member;
import walkpost.fleet.shell.Fleet;
import walkpost.fleet.shell.FleetFile;
import walkpost.fleet.shell.FleetListener;
import walkpost.fleet.shell.FleetThreads;

/**
 * Members of the fleet that serve nothing and share one event loop and its workers. Owns them all. A thread of its own hears what they
 * are told, tells their condition for them, and measures; nothing else touches what is measured.
 */
final class Hollow implements AutoCloseable {
    private static final int LOOPS = 1;
    private static final int WORKERS = 2;
    /** How often each member tells its condition, as a proxy under load does. */
    private static final long TELL_MS = 1_000;
    private static final long MEASURE_MS = 2_000;
    private static final long END_S = 2;
    private static final String TOPIC = "proxy";
    /** What a proxy's condition looks like, some 200 bytes; the figure is another one each time, as it is under load. */
    private static final String CONDITION = "{\"ready\":true,\"draining\":false,\"open\":%d,\"served_per_s\":141,\"failed_per_s\":0,"
            + "\"latency_p99_us\":48123,\"tile_servers\":200,\"taken_out\":3,\"discovery\":\"fresh\",\"heap_mb\":31,\"version\":\"0.2.0\"}";

    private final int count;
    private final Consumer<String> out;
    private final FleetThreads threads = new FleetThreads(LOOPS, WORKERS);
    private final ThreadFactory named = task -> {
        var thread = new Thread(task, "hollow");
        thread.setDaemon(true);
        return thread;
    };
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(named);
    private final List<Fleet> members = new ArrayList<>();
    // The clock's thread's from here on.
    private final OrderTimes times = new OrderTimes();
    private HollowMeter meter;
    private int told;

    /**
     * Opens all members.
     *
     * @param out is given each line
     * @throws FleetException if one can't be opened; nothing is held then
     */
    Hollow(FleetFile file, String prefix, int count, Consumer<String> out) throws FleetException {
        this.count = count;
        this.out = out;
        boolean opened = false;
        try {
            var at = new Address(file.bind().host(), 0);
            for (int number = 1; number <= count; number++) {
                Fleet member = Fleet.open(file.of(name(prefix, number), at), threads);
                members.add(member);
                member.listen(clock, new InForce());
            }
            opened = true;
        } finally {
            if (!opened) {
                release();
            }
        }
    }

    /** Returns what the member of a number, from 1, is called. */
    static String name(String prefix, int number) {
        return prefix + "-" + number;
    }

    /** Begins a line of some kind. */
    static ObjectNode line(String kind) {
        return JsonNodeFactory.instance.objectNode().put("hollow", kind).put("t_ms", System.currentTimeMillis());
    }

    /** Says that it is ready, and begins to tell and to measure. */
    void begin(long descriptorsNeeded, long descriptorsAllowed) {
        say(line("ready").put("members", count).put("first", members.get(0).name())
                .put("descriptors_needed", descriptorsNeeded).put("descriptors_allowed", descriptorsAllowed));
        clock.execute(() -> meter = new HollowMeter(members));
        clock.scheduleAtFixedRate(this::measure, MEASURE_MS, MEASURE_MS, TimeUnit.MILLISECONDS);
        for (int member = 0; member < count; member++) {
            Fleet of = members.get(member);
            // Not all at once: proxies do not wait for each other either.
            clock.scheduleAtFixedRate(() -> of.writeEntry(TOPIC, of.name(), String.format(Locale.ROOT, CONDITION, told++ % 1_000)),
                    TELL_MS * member / count, TELL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void measure() {
        times.tellNews(count, this::say);
        ObjectNode line = line("figures");
        meter.since(line);
        say(line);
    }

    private void say(ObjectNode line) {
        out.accept(line.toString());
    }

    /** Says what was measured on the whole, has all members say good-bye and releases everything. */
    @Override
    public void close() {
        clock.execute(this::sum);
        release();
    }

    private void sum() {
        if (meter != null) {
            times.tellNews(count, this::say);
            ObjectNode line = line("done");
            meter.whole(line);
            line.set("orders", times.spreads());
            say(line);
        }
    }

    private void release() {
        clock.shutdown();
        try {
            clock.awaitTermination(END_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        members.parallelStream().forEach(Fleet::close);
        threads.close();
    }

    /** Notes when orders come in force at one member. */
    private final class InForce implements FleetListener {
        private final Map<Order.Key, String> standing = new HashMap<>();

        @Override
        public void effectiveOrderChanged(Order.Key key, EffectiveOrder acting) {
            if (acting.chosen() != null && !acting.chosen().id().equals(standing.put(key, acting.chosen().id()))) {
                times.inForce(acting.chosen().id(), System.currentTimeMillis());
            }
        }

        @Override
        public void member(Member member) { }

        @Override
        public void entryReceived(Entry entry) { }

        @Override
        public void stale(Entry.Key key) { }

        @Override
        public void caughtUpChanged(boolean level) { }
    }
}
