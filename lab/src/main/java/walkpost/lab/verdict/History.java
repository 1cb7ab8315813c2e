package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walkpost.lab.ledger.Seen;

/** All that was seen of one request id, by time: at the client, and in each attempt at a tile server. */
final class History {
    final List<Seen.Asked> asked = new ArrayList<>();
    final List<Attempt> attempts = new ArrayList<>();
    final List<Seen.Closed> closed = new ArrayList<>();
    final List<Seen.Answered> answered = new ArrayList<>();
    Seen.Left left;
    Seen.Missed missed;
    Seen.Unsent unsent;

    /** One attempt; {@code end} is null where none was seen. */
    static final class Attempt {
        final Seen.Arrived arrived;
        Seen.Replied end;

        Attempt(Seen.Arrived arrived) {
            this.arrived = arrived;
        }

        /** Returns whether the server never looked at it. */
        boolean neverRan() {
            return end != null && end.end() == Seen.End.TURNED_AWAY;
        }
    }

    /** Returns the last time that the request was written, or null if it never was. */
    Seen.Asked lastAsked() {
        return asked.isEmpty() ? null : asked.get(asked.size() - 1);
    }

    /** Returns the attempts through a proxy. */
    List<Attempt> through(int proxy) {
        return attempts.stream().filter(a -> a.arrived.proxy() == proxy).toList();
    }

    /** Puts the histories of all requests together. */
    static Map<String, History> of(List<Seen> ledger) {
        var all = new LinkedHashMap<String, History>();
        var attempts = new LinkedHashMap<Long, Attempt>();
        for (Seen seen : ledger) {
            if (seen instanceof Seen.Asked s) {
                of(all, s.id()).asked.add(s);
            } else if (seen instanceof Seen.Unsent s) {
                of(all, s.id()).unsent = s;
            } else if (seen instanceof Seen.Answered s) {
                of(all, s.id()).answered.add(s);
            } else if (seen instanceof Seen.Closed s) {
                of(all, s.id()).closed.add(s);
            } else if (seen instanceof Seen.Left s) {
                of(all, s.id()).left = s;
            } else if (seen instanceof Seen.Missed s) {
                of(all, s.id()).missed = s;
            } else if (seen instanceof Seen.Arrived s) {
                var attempt = new Attempt(s);
                attempts.put(s.attempt(), attempt);
                of(all, s.id()).attempts.add(attempt);
            }
        }
        // Servers and clients note at the same time, so an end may stand before its beginning.
        for (Seen seen : ledger) {
            if (seen instanceof Seen.Replied s && attempts.containsKey(s.attempt())) {
                attempts.get(s.attempt()).end = s;
            }
        }
        return all;
    }

    private static History of(Map<String, History> all, String id) {
        return all.computeIfAbsent(id, k -> new History());
    }
}
