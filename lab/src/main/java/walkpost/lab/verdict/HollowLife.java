package walkpost.lab.verdict;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.lab.ledger.Seen;
import walkpost.lab.verdict.Evidence.Span;

/** One life of a process that holds hollow members, by what was done to it and what it said. */
final class HollowLife {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MS = 1_000;

    final String process;
    final long fromUs;
    /** When the spans begin and end in which it ran and did not stand still, from when it said that it is ready. */
    final List<Span> reach = new ArrayList<>();
    /** When each member had an order in force, by order; in microseconds of the play. */
    final Map<String, List<Long>> inForce = new LinkedHashMap<>();
    final List<Said> figures = new ArrayList<>();
    int members;
    private long since = -1;

    /**
     * What it said of itself at a moment.
     *
     * @param seconds over which the rates are
     */
    record Said(long t, int level, double seconds, double bytesPerS, double worstBytesPerS, double messagesPerS, double cpuMsPerS,
            double heapMb) { }

    private HollowLife(String process, long fromUs) {
        this.process = process;
        this.fromUs = fromUs;
    }

    /** Returns all lives of a play, by when they began. */
    static List<HollowLife> of(Evidence evidence) {
        var all = new ArrayList<HollowLife>();
        var now = new HashMap<String, HollowLife>();
        long zeroMs = evidence.all(Seen.Begun.class).stream().mapToLong(Seen.Begun::unixMs).findFirst().orElse(0);
        for (Seen seen : evidence.ledger) {
            if (seen instanceof Seen.SideIs s) {
                if (s.life() == Seen.Life.STARTED) {
                    now.put(s.process(), new HollowLife(s.process(), s.t()));
                } else if (now.containsKey(s.process())) {
                    now.get(s.process()).changed(s);
                }
            } else if (seen instanceof Seen.Said s && now.containsKey(s.process())) {
                HollowLife life = now.get(s.process());
                if (life.said(zeroMs, s.line())) {
                    all.add(life);
                }
            }
        }
        all.forEach(life -> life.end(evidence.endUs));
        return all;
    }

    private void changed(Seen.SideIs s) {
        switch (s.life()) {
            case STOPPED, KILLED, TERMINATED, ENDED -> end(s.t());
            case CONTINUED -> since = members > 0 ? s.t() : -1;
            default -> { }
        }
    }

    private void end(long t) {
        if (since >= 0 || since == Long.MIN_VALUE) {
            reach.add(new Span(since, t));
        }
        since = -1;
    }

    /** Takes a line; returns whether it is the one that says that all members are there. */
    private boolean said(long zeroMs, String line) {
        JsonNode said;
        try {
            said = JSON.readTree(line);
        } catch (JsonProcessingException e) {
            return false;
        }
        // Its own clock of the day, which is the lab's: a line is noted when it is read.
        long t = (said.path("t_ms").asLong() - zeroMs) * MS;
        switch (said.path("hollow").asText()) {
            case "ready" -> {
                members = said.path("members").asInt();
                since = t < 0 ? Long.MIN_VALUE : t;
                return true;
            }
            case "in_force" -> said.path("at_ms").forEach(at -> inForce
                    .computeIfAbsent(said.path("order").asText(), k -> new ArrayList<>()).add((at.asLong() - zeroMs) * MS));
            case "figures" -> figures.add(new Said(t, said.path("level").asInt(), said.path("seconds").asDouble(),
                    said.path("bytes_out_s").asDouble() + said.path("bytes_in_s").asDouble(), said.path("worst_bytes_s").asDouble(),
                    said.path("messages_out_s").asDouble() + said.path("messages_in_s").asDouble(), said.path("cpu_ms_s").asDouble(),
                    said.path("heap_mb").asDouble()));
            default -> { }
        }
        return false;
    }

    /** Returns how many members had an order in force by a moment. */
    long inForceBy(String order, long t) {
        return inForce.getOrDefault(order, List.of()).stream().filter(at -> at <= t).count();
    }
}
