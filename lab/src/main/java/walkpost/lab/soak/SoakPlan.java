package walkpost.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one soak does, drawn from a seed.
 *
 * @param memoryMb the memory limit in the proxy's settings
 * @param sockets the limit of descriptors in the proxy's settings
 * @param lengthMs how long the sound clients send
 * @param crowds the crowds of unsound clients that come beside them
 * @param events what is done to the process, in the order of its time
 * @param sharedListener whether the platform holds the listening socket, so that processes can take over from each other
 */
record SoakPlan(long seed, int memoryMb, int sockets, int lengthMs, List<Crowd> crowds, List<Event> events, boolean sharedListener) {
    /** What a crowd's clients do. */
    enum Behaviour {
        /** Sends a head of very many short fields and never ends it. */
        MANY_FIELDS,
        /** Sends a large request slowly. */
        SLOW_BODY,
        /** Stops half way through a large request. */
        HALF_BODY,
        /** Reads a long answer slowly. */
        SLOW_READER,
        /** Sends small sound requests on one connection at full speed. */
        FLOOD_SOUND,
        /** Sends requests under ever new names on one connection at full speed. */
        FLOOD_NEW_NAMES,
        /** Sends unsound requests at full speed. */
        FLOOD_UNSOUND,
        /** Closes its connection while much that it has sent is unread. */
        LEAVE_UNREAD,
        /** Leaves after it has sent a request, and sends the same id again. */
        REPEAT_ID
    }

    /** A number of clients of one behaviour, from one time on. */
    record Crowd(Behaviour behaviour, int clients, int fromMs, int lengthMs) { }

    /** What happens to the process. */
    enum Act { RELOAD, RESTART, UPGRADE }

    /** An act at a time. */
    record Event(Act act, int atMs) { }

    private static final int[] MEMORY_MB = {32, 96, 144, 192, 192};
    /** A third of the descriptors, which clients use at most for requests. */
    private static final int DESCRIPTOR_DIVISOR = 3;
    private static final int MIN_CROWD = 50;
    private static final int MAX_FLOODS = 2;
    private static final int MAX_REPEATERS = 6;
    private static final int MAX_LEAVERS = 12;

    /** Draws a plan. */
    static SoakPlan of(long seed, int lengthMs) {
        var random = new SplittableRandom(seed);
        int sockets = 1_024;
        int memoryMb = MEMORY_MB[random.nextInt(MEMORY_MB.length)];
        boolean shared = random.nextInt(3) == 0;
        // One run in four has more clients than a third of the descriptors.
        int most = sockets / DESCRIPTOR_DIVISOR * (random.nextInt(4) == 0 ? 2 : 1);
        int left = MIN_CROWD + random.nextInt(most - MIN_CROWD + 1);
        var crowds = new ArrayList<Crowd>();
        Behaviour[] held = {Behaviour.MANY_FIELDS, Behaviour.SLOW_BODY, Behaviour.HALF_BODY, Behaviour.SLOW_READER};
        int kinds = 1 + random.nextInt(held.length);
        int first = random.nextInt(held.length);
        for (int i = 0; i < kinds; i++) {
            int clients = i == kinds - 1 ? left : left / 2;
            left -= clients;
            crowds.add(new Crowd(held[(first + i) % held.length], clients, random.nextInt(lengthMs / 4), lengthMs));
        }
        Behaviour[] hasty = {Behaviour.FLOOD_SOUND, Behaviour.FLOOD_NEW_NAMES, Behaviour.FLOOD_UNSOUND};
        if (random.nextInt(3) > 0) {
            crowds.add(new Crowd(hasty[random.nextInt(hasty.length)], 1 + random.nextInt(MAX_FLOODS), lengthMs / 4, lengthMs / 2));
        }
        crowds.add(new Crowd(Behaviour.REPEAT_ID, 1 + random.nextInt(MAX_REPEATERS), 0, lengthMs));
        crowds.add(new Crowd(Behaviour.LEAVE_UNREAD, 1 + random.nextInt(MAX_LEAVERS), 0, lengthMs));
        return new SoakPlan(seed, memoryMb, sockets, lengthMs, List.copyOf(crowds), events(random, lengthMs, shared), shared);
    }

    private static List<Event> events(SplittableRandom random, int lengthMs, boolean shared) {
        var events = new ArrayList<Event>();
        int reloadAtMs = lengthMs / 5 + random.nextInt(lengthMs / 5);
        for (int i = random.nextInt(4); i > 0; i--) {
            events.add(new Event(Act.RELOAD, reloadAtMs));
            reloadAtMs += random.nextInt(400);
        }
        if (shared) {
            events.add(new Event(Act.UPGRADE, lengthMs / 2));
        } else if (random.nextInt(3) == 0) {
            events.add(new Event(Act.RESTART, lengthMs / 2));
        }
        return List.copyOf(events);
    }

    boolean has(Act act) {
        return events.stream().anyMatch(event -> event.act == act);
    }

    @Override
    public String toString() {
        return "seed %d, %d MB, %d descriptors, %s%s, %s".formatted(seed, memoryMb, sockets, sharedListener ? "shared listener, " : "",
                crowds.stream().map(c -> c.clients + " " + c.behaviour).toList(),
                events.stream().map(e -> e.act + "@" + e.atMs).toList());
    }
}
