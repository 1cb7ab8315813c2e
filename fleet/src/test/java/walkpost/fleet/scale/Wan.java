package walkpost.fleet.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walkpost.fleet.shell.Wire;

/**
 * Three regions, 30 ms of way between them and a quarter of a millisecond within; datagrams are lost by chance, and connections are
 * made, kept and given up as the shell's transport does: a round trip to make one, so many at the most, closed without use. Owns the
 * connections and which regions are cut off. What crosses a cut is lost, over connections too. Bandwidth is without bound.
 */
final class Wan {
    private static final long ACROSS_US = 30 * Agenda.MS;
    private static final long ACROSS_JITTER_US = Agenda.MS;
    private static final long WITHIN_US = 200;
    private static final long WITHIN_JITTER_US = 100;

    /** A connection that one life of a host has made to another host. */
    private static final class Link {
        private final Process from;
        private final Host to;
        private final Process accepted;
        private final long madeUs;
        private long usedUs;
        private boolean closed;

        Link(Process from, Host to, long madeUs) {
            this.from = from;
            this.to = to;
            this.accepted = to.process();
            this.madeUs = madeUs;
            usedUs = madeUs;
        }

        boolean stands() {
            return !closed && to.process() == accepted && accepted != null;
        }
    }

    private final Agenda agenda;
    private final Traffic traffic;
    private final Map<Process, Map<Host, Link>> outbound = new HashMap<>();
    private final Map<Process, Set<Link>> inbound = new HashMap<>();
    private final Set<Integer> cutRegions = new HashSet<>();
    private double loss;
    private long linksMade;
    private long linksGivenUp;
    private long lostOnLinks;

    Wan(Agenda agenda, Traffic traffic, double loss) {
        this.agenda = agenda;
        this.traffic = traffic;
        this.loss = loss;
    }

    void lose(double share) {
        loss = share;
    }

    /** Cuts a region off from all others. */
    void cut(int region) {
        cutRegions.add(region);
    }

    void heal() {
        cutRegions.clear();
    }

    boolean isCut(int region) {
        return cutRegions.contains(region);
    }

    /** Returns connections made, those given up for newer ones, and messages lost by that. */
    long[] links() {
        return new long[] {linksMade, linksGivenUp, lostOnLinks};
    }

    /** Sends so many bytes; {@code arrive} runs at the receiver if they get there. */
    void send(Process from, Host to, int bytes, boolean large, Traffic.Kind kind, String type, Runnable arrive) {
        boolean connection = large || bytes > Wire.MOST_DATAGRAM;
        int onWire = connection ? bytes + Wire.FRAME : bytes;
        Host host = from.host();
        boolean cut = host.region() != to.region() && (isCut(host.region()) || isCut(to.region()));
        if (connection && (cut || to.process() == null)) {
            // No connection comes about, so nothing of the message leaves; a datagram does, whoever is there.
            return;
        }
        traffic.sent(agenda.nowUs(), host.index(), kind, type, onWire);
        if (cut) {
            return;
        }
        Runnable got = () -> {
            if (to.process() != null) {
                traffic.arrived(agenda.nowUs(), to.index(), kind, onWire);
                arrive.run();
            }
        };
        if (connection) {
            overLink(from, to, got);
        } else if (!agenda.chance(loss)) {
            agenda.after(wayUs(host, to), got);
        }
    }

    private void overLink(Process from, Host to, Runnable got) {
        Link link = link(from, to);
        link.usedUs = agenda.nowUs();
        long waitUs = Math.max(0, link.madeUs - agenda.nowUs());
        agenda.after(waitUs + wayUs(from.host(), to), () -> {
            if (link.stands()) {
                got.run();
            } else {
                lostOnLinks++;
            }
        });
    }

    private Link link(Process from, Host to) {
        Map<Host, Link> mine = outbound.computeIfAbsent(from, process -> new LinkedHashMap<>(16, 0.75f, true));
        for (Link link : List.copyOf(mine.values())) {
            if (!link.stands() || idle(link)) {
                close(link);
            }
        }
        Link known = mine.get(to);
        if (known != null) {
            return known;
        }
        if (mine.size() >= Wire.MOST_OUTBOUND) {
            close(mine.values().iterator().next());
            linksGivenUp++;
        }
        Link made = new Link(from, to, agenda.nowUs() + 2 * wayUs(from.host(), to));
        mine.put(to, made);
        linksMade++;
        Set<Link> theirs = inbound.computeIfAbsent(made.accepted, process -> new LinkedHashSet<>());
        List.copyOf(theirs).stream().filter(this::idle).forEach(this::close);
        if (theirs.size() >= Wire.MOST_INBOUND) {
            close(theirs.iterator().next());
            linksGivenUp++;
        }
        theirs.add(made);
        return made;
    }

    private boolean idle(Link link) {
        return agenda.nowUs() - link.usedUs > Wire.IDLE_US;
    }

    private void close(Link link) {
        link.closed = true;
        Map<Host, Link> made = outbound.get(link.from);
        if (made != null) {
            made.remove(link.to, link);
        }
        Set<Link> accepted = inbound.get(link.accepted);
        if (accepted != null) {
            accepted.remove(link);
        }
    }

    /** A process has ended: so have its connections. */
    void ended(Process process) {
        Map<Host, Link> made = outbound.remove(process);
        if (made != null) {
            new ArrayList<>(made.values()).forEach(this::close);
        }
        Set<Link> accepted = inbound.remove(process);
        if (accepted != null) {
            new ArrayList<>(accepted).forEach(this::close);
        }
    }

    private long wayUs(Host from, Host to) {
        return from.region() == to.region() ? WITHIN_US + agenda.draw(WITHIN_JITTER_US) : ACROSS_US + agenda.draw(ACROSS_JITTER_US);
    }
}
