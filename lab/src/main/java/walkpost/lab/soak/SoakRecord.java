package walkpost.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** What clients, servers and the machine saw in a soak. All times are of {@code System.nanoTime}. Thread-safe. */
final class SoakRecord {
    /** How an exchange ended for its client. */
    enum End {
        /** The whole answer arrived. */
        ANSWERED,
        /** The answer began and broke off. */
        BROKEN_OFF,
        /** The connection ended or was reset without an answer. */
        CLOSED,
        /** No answer came before the client stopped waiting. */
        SILENT,
        /** No connection came up. */
        UNREACHED
    }

    /**
     * What became of a sound client's request.
     *
     * @param sentNs when its last byte was written
     * @param firstNs when the first byte of the answer arrived; 0 for none
     * @param endNs when the exchange ended
     * @param sound whether a 200 carried the body that belongs to the request
     */
    record Answer(SoakRequest request, End end, int status, long sentNs, long firstNs, long endNs, boolean sound) { }

    /** A request whose last byte reached a server. */
    record Run(String id, long atNs) { }

    /** An answer whose connection was closed by the proxy while the server was still writing. */
    record CutOff(String id, long atNs, int givenBytes) { }

    /** A client that closed its connection. */
    record Left(long atNs) { }

    /** An unsound peer that got neither an error nor a close in time. */
    record Unanswered(SoakPlan.Behaviour behaviour, long sinceNs) { }

    /** What the processes of the proxy hold at one time, together. */
    record Use(long atNs, long memoryKb, int descriptors, int processes) { }

    /** A time in which threads of the soak itself did not run, so that what came late then says nothing about the proxy. */
    record Stall(long fromNs, long toNs) { }

    /** A process that ended after it had been told to. */
    record Ended(long atNs) { }

    /** A process that ended without having been told to. */
    record EndedByItself(long atNs, String lastWords) { }

    private final long startNs = System.nanoTime();
    final Map<String, SoakRequest> requests = new ConcurrentHashMap<>();
    final ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<CutOff> cutOffs = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Unanswered> unanswered = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Use> uses = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Stall> stalls = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<Ended> orderlyEnds = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<EndedByItself> ends = new ConcurrentLinkedQueue<>();
    /** The status of answers to crowds, with how often each came. */
    final Map<String, Integer> crowdAnswers = new ConcurrentHashMap<>();
    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    /** When an attempt of each request began at a server: its first byte. */
    private final Map<String, List<Long>> begun = new ConcurrentHashMap<>();
    private final Map<String, Left> left = new ConcurrentHashMap<>();

    /** Returns when the record was begun. */
    long startNs() {
        return startNs;
    }

    /** Returns whether the soak itself stood still at some moment of a span. */
    boolean isStalled(long fromNs, long toNs) {
        return stalls.stream().anyMatch(stall -> stall.fromNs < toNs && fromNs < stall.toNs);
    }

    void begun(String id, long atNs) {
        begun.compute(id, (key, list) -> added(list, atNs));
    }

    void ran(String id, long atNs) {
        runs.compute(id, (key, list) -> added(list, new Run(id, atNs)));
    }

    /** Notes that the client of a request has closed its connection for good. */
    void left(String id, long atNs) {
        left.put(id, new Left(atNs));
    }

    void crowdAnswer(SoakPlan.Behaviour behaviour, int status) {
        crowdAnswers.merge(behaviour + " " + status, 1, Integer::sum);
    }

    private static <T> List<T> added(List<T> list, T next) {
        List<T> all = list == null ? new ArrayList<>(1) : list;
        synchronized (all) {
            all.add(next);
        }
        return all;
    }

    Map<String, List<Run>> runs() {
        return runs;
    }

    Map<String, List<Long>> begun() {
        return begun;
    }

    Map<String, Left> left() {
        return left;
    }
}
