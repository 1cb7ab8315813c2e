package walkpost.lab.verdict;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * When it counts as told to one proxy that a server drains or is gone (STANDING, "The whole fleet"; PROTOCOL, "The rules on
 * sockets"). It is given what happened in the order of time, in microseconds of the play, and asked for the moment. It owns
 * all that bears on that; nothing here looks at what the proxy does.
 */
final class ListClock {
    /** What a silent watch misses counts as told so long after it fell silent. */
    static final long SILENCE_US = 6_000_000;
    /** The same of a call that waits, after its wait, where that is later. */
    static final long AFTER_WAIT_US = 2_000_000;
    /** What an agent has counts as told so long after SIGHUP, as the proxy may be moving to another. */
    static final long HANG_UP_US = 4_000_000;
    /** Whose last call failed is held to the list it has for so many times as long. */
    static final int FAILED_TIMES = 4;
    private static final long NEVER = Long.MAX_VALUE;
    private static final long LONG_AGO = Long.MIN_VALUE / 2;

    private final boolean pushed;
    private final long askUs;
    private final Map<String, Long> made = new HashMap<>();
    private final Map<String, Long> written = new HashMap<>();
    private final Map<String, Long> missed = new HashMap<>();
    private final Set<Long> open = new HashSet<>();
    private final Map<Long, Long> silentUntil = new HashMap<>();
    private long lastCallAt;
    private boolean failed;
    private long hungUpAt = LONG_AGO;
    private int cutOff;
    private long cutOffAt = LONG_AGO;
    private long backAt = LONG_AGO;

    /** How something came to count as told. */
    enum How { WRITTEN, PUSHED, SILENCE, NOT_ASKED, NOT_TOLD }

    /** Since when something counts as told; {@link Long#MAX_VALUE} for not. */
    record Told(long atUs, How how) {
        private Told or(long otherAt, How other) {
            return otherAt < atUs ? new Told(otherAt, other) : this;
        }
    }

    /** Creates the clock of a proxy; {@code askUs} is the time within which it has to ask, where lists are not pushed. */
    ListClock(boolean pushed, long askUs) {
        this.pushed = pushed;
        this.askUs = askUs;
    }

    /** A new process knows the list that the settings give it, and nothing else. */
    void started(long t) {
        written.clear();
        missed.clear();
        open.clear();
        silentUntil.clear();
        called(t);
    }

    /** A call begins. */
    void called(long t, long call) {
        open.add(call);
        called(t);
    }

    private void called(long t) {
        lastCallAt = t;
        failed = false;
    }

    /** A call is over, with a list or with something else; those of a life before count no more. */
    void ended(long t, long call, boolean withoutList) {
        silentUntil.remove(call);
        if (open.remove(call)) {
            lastCallAt = t;
            failed = withoutList;
        }
    }

    /** A call that waits until a moment gets nothing any more. */
    void fellSilent(long t, long call, long waitEndsUs) {
        if (open.remove(call)) {
            called(t);
            silentUntil.put(call, Math.max(t + SILENCE_US, waitEndsUs + AFTER_WAIT_US));
        }
    }

    /** The proxy got SIGHUP. */
    void hungUp(long t) {
        hungUpAt = t;
    }

    /** Discovery is down, or out of the proxy's reach; may be so for several reasons at once. */
    void cutOff(long t) {
        if (cutOff++ == 0) {
            cutOffAt = t;
        }
    }

    /** One of the reasons is over. */
    void back(long t) {
        if (--cutOff == 0) {
            backAt = t;
        }
    }

    /** The list changed, whoever was told. */
    void listed(long t, String server, boolean ready) {
        if (ready) {
            made.remove(server);
            missed.remove(server);
        } else if (made.putIfAbsent(server, t) == null && open.isEmpty()) {
            silentUntil.values().stream().filter(until -> until > t).min(Long::compare).ifPresent(until -> missed.put(server, until));
        }
    }

    /** Discovery wrote a line of the list to the proxy. */
    void wrote(long t, String server, boolean ready) {
        if (ready) {
            written.remove(server);
        } else {
            written.putIfAbsent(server, t);
        }
    }

    /** Returns since when it counts as told that a server drains or is gone, as things stand after all that was given. */
    Told told(String server) {
        var told = new Told(NEVER, How.NOT_TOLD).or(written.getOrDefault(server, NEVER), How.WRITTEN);
        Long since = made.get(server);
        if (since == null) {
            return told;
        }
        if (missed.containsKey(server)) {
            return told.or(missed.get(server), How.SILENCE);
        }
        return pushed ? told.or(pushedAt(since), How.PUSHED) : told.or(deemedAt(since), How.NOT_ASKED);
    }

    private long pushedAt(long since) {
        if (cutOff > 0 && since >= cutOffAt) {
            return NEVER;
        }
        long had = since >= cutOffAt ? Math.max(since, backAt) : since;
        return had >= hungUpAt ? Math.max(had, hungUpAt + HANG_UP_US) : had;
    }

    /** A proxy with no watch is held to its list for a time after its last call; from then on to each change so long after it was made. */
    private long deemedAt(long since) {
        if (cutOff > 0 || !open.isEmpty()) {
            return NEVER;
        }
        return Math.max(since, Math.max(lastCallAt, backAt)) + askUs * (failed ? FAILED_TIMES : 1);
    }
}
