package walkpost.lab.server;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.LongUnaryOperator;

/**
 * One life of a tile server, from a start to its end: a pure model on a given clock, in microseconds. Its cores are shared
 * out evenly among the requests in work (processor sharing); a request first works, then waits on others, and holds its slot
 * for both. What finds no slot waits in a room; what finds none there is turned away unseen.
 *
 * <p>Time only moves forward: every call comes with the present moment, and {@link #advance} is to be called by
 * {@link #nextUs} at the latest. Used by one thread.
 */
final class TileServer {
    /** While the server warms up, its rate is taken as steady for so long. */
    private static final long WARMING_STEP_US = 20_000;
    /** The bench leaves a little slack for chance; so do we. */
    private static final double SLACK = 1.1;

    /**
     * What a server is like.
     *
     * @param coldFrom the part of its capacity that it starts with
     * @param fallMultiple more than this multiple of its present capacity, for {@code fallUs}, pushes a cold one over
     */
    record Machine(int cores, double speed, int slots, int room, double coldFrom, long coldUs, boolean dropsQueued,
            double fallMultiple, long fallUs) { }

    /** How an attempt ended. */
    enum End { SERVED, ERROR }

    /** One attempt; compared by identity. */
    static final class Job {
        private final String id;
        private final long waitUs;
        private final boolean fails;
        private double leftUs;
        private double doneAt;
        private long readyUs;

        /**
         * Creates one.
         *
         * @param workUs on a standard core
         * @param fails whether it ends in an error as soon as it is begun, having cost nothing
         */
        Job(String id, long workUs, long waitUs, boolean fails) {
            this.id = id;
            this.waitUs = waitUs;
            this.fails = fails;
            leftUs = workUs;
        }

        String id() {
            return id;
        }
    }

    /** What became of an attempt, and when. */
    record Finished(Job job, End end, long atUs) { }

    private record Sent(long atUs, double workUs) { }

    private final Machine machine;
    private final LongUnaryOperator earlierUs;
    private final long startedUs;
    private final boolean startsCold;
    private final PriorityQueue<Job> working = new PriorityQueue<>(Comparator.comparingDouble((Job j) -> j.doneAt));
    private final PriorityQueue<Job> waiting = new PriorityQueue<>(Comparator.comparingLong((Job j) -> j.readyUs));
    private final ArrayDeque<Job> room = new ArrayDeque<>();
    private final ArrayDeque<Sent> pressure = new ArrayDeque<>();
    private final List<Finished> ended = new ArrayList<>();
    private double pressureUs;
    /** What each request in work has been given since the start; the clock of the fair share. */
    private double given;
    private double servedUs;
    private double slowness = 1;
    private boolean fallen;
    private long now;

    /** Starts a server on a lab that is never held up; a cold one warms up from now on. */
    TileServer(Machine machine, long nowUs, boolean cold) {
        this(machine, nowUs, cold, us -> 0);
    }

    /**
     * Starts a server; a cold one warms up from now on.
     *
     * @param earlierUs tells by how much earlier than at a moment something may have come that the lab saw only then
     */
    TileServer(Machine machine, long nowUs, boolean cold, LongUnaryOperator earlierUs) {
        this.earlierUs = earlierUs;
        this.machine = machine;
        startedUs = nowUs;
        startsCold = cold;
        now = nowUs;
    }

    /** Returns the part of its capacity that it has, which rises evenly with time. */
    double warmth(long atUs) {
        if (!startsCold || atUs - startedUs >= machine.coldUs()) {
            return 1;
        }
        return machine.coldFrom() + (1 - machine.coldFrom()) * (atUs - startedUs) / machine.coldUs();
    }

    /** Returns what it can do in a microsecond, in microseconds of work on a standard core, trouble left out. */
    double capacity(long atUs) {
        return machine.cores() * machine.speed() * warmth(atUs);
    }

    /** Returns the work that is in hand, in microseconds on a standard core: for those who may know the truth. */
    double inHandUs() {
        return room.stream().mapToDouble(j -> j.leftUs).sum() + working.stream().mapToDouble(j -> j.doneAt - given).sum();
    }

    /** Returns what it can really do in a microsecond, trouble and all. */
    double trueCapacity() {
        return fallen ? 0 : capacity(now) / slowness;
    }

    /** Returns whether it has been pushed over; it does nothing any more. */
    boolean fallen() {
        return fallen;
    }

    /** Returns the work done so far, in microseconds on a standard core. */
    double servedUs() {
        return servedUs;
    }

    int inHand() {
        return working.size() + waiting.size() + room.size();
    }

    /** From now on all work takes so many times as long. */
    void slowDown(long nowUs, double times) {
        advance(nowUs);
        slowness = times;
    }

    /**
     * Takes an attempt, or turns it away unseen: {@code false}. Both weigh on a cold server, which may fall over.
     *
     * @param workUs the work that reaches it, that of a new connection included
     */
    boolean arrive(long nowUs, Job job, double workUs) {
        advance(nowUs);
        press(workUs);
        if (fallen) {
            return false;
        }
        if (job.fails) {
            ended.add(new Finished(job, End.ERROR, now));
        } else if (working.size() + waiting.size() < machine.slots()) {
            begin(job);
        } else if (room.size() < machine.room()) {
            room.add(job);
        } else {
            return false;
        }
        return true;
    }

    /** Spends work on something that is no request: a probe, or a connection for nothing. */
    void spend(long nowUs, double workUs) {
        advance(nowUs);
        press(workUs);
        // Taken from those in work, as their share of the core is used otherwise.
        if (!working.isEmpty()) {
            given -= workUs / working.size();
        }
    }

    private void press(double workUs) {
        pressure.add(new Sent(now, workUs));
        pressureUs += workUs;
        while (pressure.peek().atUs() <= now - machine.fallUs()) {
            pressureUs -= pressure.poll().workUs();
        }
        // What a hold-up of the lab kept from being seen until the time it is counted over began, came over a longer time.
        long overUs = machine.fallUs() + earlierUs.applyAsLong(now - machine.fallUs());
        if (warmth(now) < 1 && pressureUs > machine.fallMultiple() * capacity(now) * overUs * SLACK) {
            fallen = true;
            working.clear();
            waiting.clear();
            room.clear();
        }
    }

    private void begin(Job job) {
        job.doneAt = given + job.leftUs;
        working.add(job);
    }

    /** The proxy is gone: what is in work goes on, what waits is dropped where machines do that. */
    void leave(long nowUs, Job job) {
        advance(nowUs);
        if (machine.dropsQueued()) {
            room.remove(job);
        }
    }

    /** Lets time pass, and returns what has ended since the last call. */
    List<Finished> advance(long nowUs) {
        while (true) {
            long next = nextUs();
            if (next > nowUs) {
                break;
            }
            passTo(Math.max(now, next));
            finish();
        }
        passTo(Math.max(now, nowUs));
        finish();
        return ended;
    }

    /** Returns what has ended and forgets it. */
    List<Finished> take() {
        List<Finished> taken = List.copyOf(ended);
        ended.clear();
        return taken;
    }

    private void passTo(long nowUs) {
        if (!working.isEmpty()) {
            double each = (nowUs - now) * share((now + nowUs) / 2);
            given += each;
            servedUs += each * working.size();
        }
        now = nowUs;
    }

    /** Returns what one request in work is given in a microsecond. */
    private double share(long atUs) {
        return machine.speed() * warmth(atUs) / slowness * Math.min(1, (double) machine.cores() / working.size());
    }

    private void finish() {
        // Half a microsecond of work is left by rounding at most.
        while (!working.isEmpty() && working.peek().doneAt <= given + 0.5) {
            Job job = working.poll();
            job.readyUs = now + job.waitUs;
            waiting.add(job);
        }
        while (!waiting.isEmpty() && waiting.peek().readyUs <= now) {
            ended.add(new Finished(waiting.poll(), End.SERVED, now));
        }
        while (!room.isEmpty() && working.size() + waiting.size() < machine.slots()) {
            begin(room.poll());
        }
    }

    /** Returns the next moment at which something ends, or {@link Long#MAX_VALUE} if nothing is in hand. */
    long nextUs() {
        long next = waiting.isEmpty() ? Long.MAX_VALUE : waiting.peek().readyUs;
        if (!working.isEmpty()) {
            long done = now + Math.max(1, (long) Math.ceil((working.peek().doneAt - given) / share(now)));
            next = Math.min(next, warmth(now) < 1 ? Math.min(done, now + WARMING_STEP_US) : done);
        }
        return next;
    }
}
