package walkpost.app;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import walkpost.fleet.shell.FleetHandle;

/** What the members of this process send, receive and cost: samples now and then, and rates between two of them. Used by one thread. */
final class HollowMeter {
    private static final double SECOND_NS = 1e9;
    private static final double MS_NS = 1e6;
    private static final long WINDOW_NS = 10_000_000_000L;
    private static final List<String> COUNTED = List.of("messages_out", "messages_in", "bytes_out", "bytes_in");

    private final OperatingSystemMXBean machine = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
    private final List<? extends FleetHandle> members;
    private final Sample first;
    private final Deque<Sample> window = new ArrayDeque<>();

    /** All counts at a moment; {@code counts} by member, in the order of {@link #COUNTED}. */
    private record Sample(long ns, long cpuNs, long[][] counts) {
        private double sum(int which) {
            double sum = 0;
            for (long[] member : counts) {
                sum += member[which];
            }
            return sum;
        }
    }

    /** Begins to measure. */
    HollowMeter(List<? extends FleetHandle> members) {
        this.members = members;
        first = sample();
        window.add(first);
    }

    private Sample sample() {
        var counts = new long[members.size()][COUNTED.size()];
        for (int member = 0; member < counts.length; member++) {
            Map<String, Long> all = members.get(member).counters();
            for (int which = 0; which < COUNTED.size(); which++) {
                counts[member][which] = all.getOrDefault(COUNTED.get(which), 0L);
            }
        }
        return new Sample(System.nanoTime(), machine.getProcessCpuTime(), counts);
    }

    /** Puts the rates since the last call into a line. */
    void since(ObjectNode line) {
        Sample now = sample();
        put(line, window.getLast(), now);
        window.add(now);
        while (window.size() > 2 && now.ns() - window.getFirst().ns() > WINDOW_NS + WINDOW_NS / 10) {
            window.removeFirst();
        }
        line.put("worst_bytes_s", rounded(worst(window.getFirst(), now)));
        state(line);
    }

    /** Puts the rates since the beginning into a line. */
    void whole(ObjectNode line) {
        put(line, first, sample());
        state(line);
    }

    private void put(ObjectNode line, Sample from, Sample to) {
        double seconds = Math.max(1e-3, (to.ns() - from.ns()) / SECOND_NS);
        double each = members.size() * seconds;
        line.put("seconds", rounded(seconds));
        for (int which = 0; which < COUNTED.size(); which++) {
            line.put(COUNTED.get(which) + "_s", rounded((to.sum(which) - from.sum(which)) / each));
        }
        line.put("cpu_ms_s", rounded((to.cpuNs() - from.cpuNs()) / MS_NS / each));
    }

    /** Returns the bytes both ways that the one member had most of, a second. */
    private static double worst(Sample from, Sample to) {
        double worst = 0;
        for (int member = 0; member < to.counts().length; member++) {
            long[] was = from.counts()[member];
            long[] is = to.counts()[member];
            worst = Math.max(worst, (is[2] + is[3] - was[2] - was[3]) * SECOND_NS / Math.max(1, to.ns() - from.ns()));
        }
        return worst;
    }

    private void state(ObjectNode line) {
        line.put("members", members.size()).put("level", members.stream().filter(FleetHandle::isCaughtUp).count())
                .put("heap_mb", ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() >> 20)
                .put("descriptors", Descriptors.openNow());
    }

    private static double rounded(double figure) {
        return Math.round(figure * 1e3) / 1e3;
    }
}
