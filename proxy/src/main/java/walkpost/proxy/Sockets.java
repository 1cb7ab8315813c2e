package walkpost.proxy;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Counts the open connections, so that the process stays under its limit of descriptors: one too many fails at a place
 * where nothing can be done about it. Idle connections are given up first, the longest idle of the backends' before
 * the clients'; where none is left, no further client is accepted for a while.
 */
final class Sockets {
    /** Descriptors for the jar, the selector, the listener, discovery and connections that are just closing. */
    private static final int SPARE = 96;
    /** Of half the descriptors a quarter: the process itself has 11 open, the operators take 16, discovery 2. */
    private static final int SHARED_SPARE = 48;
    /** So many clients that linger may hold places beyond the count, out of the spare ones. */
    private static final int MOST_LINGERING = 16;

    private final int most;
    private final int mostClients;
    private final Set<Channel> idleBackends = new LinkedHashSet<>();
    private final Set<Closing> idleClients = new LinkedHashSet<>();
    /** Those that were given up already and still hold their descriptors, the longest first. */
    private final Set<Closing> lingering = new LinkedHashSet<>();
    private int clients;
    private int backends;
    private Listener listener;
    private boolean accepting = true;

    Sockets(int limit) {
        this(limit, SPARE);
    }

    /** Returns the part of one of two processes that share a limit: neither knows when the other is there. */
    static Sockets halfOf(int limit) {
        return new Sockets(limit / 2, SHARED_SPARE);
    }

    private Sockets(int limit, int spare) {
        most = Math.max(16, limit - spare);
        // A request needs a connection on either side: clients alone can't use up what their requests need.
        mostClients = most * 5 / 8;
    }

    /** Names the socket that is not to accept while there is no room. */
    void listener(Listener where) {
        listener = where;
    }

    void clientOpened(Closing client) {
        clients++;
        client.channel().closeFuture().addListener(f -> {
            clients--;
            idleClients.remove(client);
            lingering.remove(client);
            if (!clientsFull()) {
                accept(true);
            }
        });
        if (clientsFull() && !(clients < mostClients && giveUpBackend()) && !giveUpClient()) {
            accept(false);
        }
    }

    private void accept(boolean on) {
        if (listener != null && accepting != on) {
            accepting = on;
            listener.accept(on);
        }
    }

    private boolean clientsFull() {
        return clients >= mostClients || clients + backends >= most;
    }

    /** Returns whether one more connection to a backend may be opened. */
    boolean roomForBackend() {
        return clients + backends < most || giveUpBackend() || giveUpClient();
    }

    void backendOpened(Channel channel) {
        backends++;
        channel.closeFuture().addListener(f -> {
            backends--;
            idleBackends.remove(channel);
        });
    }

    void backendIdle(Channel channel, boolean idle) {
        mark(idleBackends, channel, idle && channel.isOpen());
    }

    /** Whoever waits to be accepted may have the place of a connection that has fallen idle. */
    void clientIdle(Closing client, boolean idle) {
        mark(idleClients, client, idle && !client.begun() && client.channel().isOpen());
        if (idle) {
            accept(true);
        }
    }

    /** It is closed as far as this side is concerned, and open until its client has seen that. */
    void clientLingers(Closing client) {
        lingering.add(client);
    }

    private static <T> void mark(Set<T> set, T connection, boolean in) {
        set.remove(connection);
        if (in) {
            set.add(connection);
        }
    }

    private boolean giveUpBackend() {
        Channel longest = first(idleBackends);
        if (longest != null) {
            longest.close();
        }
        return longest != null;
    }

    /** Gives up an idle client, whose place is free a little later; where too many go on holding theirs, one of these. */
    private boolean giveUpClient() {
        boolean enough = lingering.size() >= MOST_LINGERING;
        Closing longest = first(enough ? lingering : idleClients);
        if (longest == null) {
            return false;
        }
        if (enough) {
            longest.cut();
        } else {
            longest.begin();
        }
        return true;
    }

    private static <T> T first(Set<T> set) {
        if (set.isEmpty()) {
            return null;
        }
        T first = set.iterator().next();
        set.remove(first);
        return first;
    }
}
