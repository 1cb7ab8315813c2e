package walkpost.proxy;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Counts the open connections to clients and servers, so that the process stays under its limit of descriptors; beyond the limit, a call
 * fails at a place that can't recover from it. Where there is no room, the connection to a server that has been idle for longest
 * is closed, then the client's connection that has been idle for longest. If none is idle, the proxy stops accepting clients for a while.
 * Used on the event loop only.
 */
final class ConnectionBudget {
    /** The descriptors kept for the jar, the selector, the listener, discovery and connections that are being closed. */
    private static final int RESERVED_DESCRIPTORS = 96;
    /**
     * The same for each of two processes that share a limit. This is a quarter of each process's half of the descriptors: the process
     * itself has 11 of them open, the operator endpoint takes up to 16, and discovery 2.
     */
    private static final int RESERVED_DESCRIPTORS_SHARED = 48;
    /** How many clients that have not closed their side yet may keep their descriptors beyond the count, out of the reserved ones. */
    private static final int MAX_LINGERING_CLIENTS = 16;

    private final int maxConnections;
    private final int maxClients;
    private final Set<Channel> idleServerConnections = new LinkedHashSet<>();
    private final Set<LingeringClose> idleClients = new LinkedHashSet<>();
    /** The clients whose connections are closed on this side and still hold their descriptors, the longest first. */
    private final Set<LingeringClose> lingeringClients = new LinkedHashSet<>();
    private int clients;
    private int serverConnections;
    private ClientListener listener;
    private boolean accepting = true;

    /** Creates the budget of a process that may open {@code descriptorLimit} descriptors. */
    ConnectionBudget(int descriptorLimit) {
        this(descriptorLimit, RESERVED_DESCRIPTORS);
    }

    /** Returns the budget of one of two processes that share a limit; it is half of it, because neither knows when the other runs. */
    static ConnectionBudget forSharedLimit(int descriptorLimit) {
        return new ConnectionBudget(descriptorLimit / 2, RESERVED_DESCRIPTORS_SHARED);
    }

    private ConnectionBudget(int descriptorLimit, int reservedDescriptors) {
        maxConnections = Math.max(16, descriptorLimit - reservedDescriptors);
        // A request needs a connection on either side, so clients alone must not use up the connections that their requests need.
        maxClients = maxConnections * 5 / 8;
    }

    /** Sets the listener that stops accepting clients while there is no room for them. */
    void setListener(ClientListener newListener) {
        listener = newListener;
    }

    /** Counts a client's connection until it is closed, and makes room or stops accepting if it took the last place. */
    void clientOpened(LingeringClose client) {
        clients++;
        client.channel().closeFuture().addListener(closed -> {
            clients--;
            idleClients.remove(client);
            lingeringClients.remove(client);
            if (!isFullForClients()) {
                accept(true);
            }
        });
        if (isFullForClients() && !(clients < maxClients && closeIdleServerConnection()) && !closeIdleClient()) {
            accept(false);
        }
    }

    private void accept(boolean on) {
        if (listener != null && accepting != on) {
            accepting = on;
            listener.setAccepting(on);
        }
    }

    private boolean isFullForClients() {
        return clients >= maxClients || clients + serverConnections >= maxConnections;
    }

    /** Returns whether one more connection to a server may be opened. If there is no room, it closes an idle connection to make some. */
    boolean makeRoomForServerConnection() {
        return clients + serverConnections < maxConnections || closeIdleServerConnection() || closeIdleClient();
    }

    /** Counts a connection to a server until it is closed. */
    void serverConnectionOpened(Channel channel) {
        serverConnections++;
        channel.closeFuture().addListener(closed -> {
            serverConnections--;
            idleServerConnections.remove(channel);
        });
    }

    /** Records whether a connection to a server is idle, so that it may be closed to make room. */
    void setServerConnectionIdle(Channel channel, boolean idle) {
        mark(idleServerConnections, channel, idle && channel.isOpen());
    }

    /** Records whether a client's connection is idle. An idle one may be closed for a client that waits to be accepted. */
    void setClientIdle(LingeringClose client, boolean idle) {
        mark(idleClients, client, idle && !client.isStarted() && client.channel().isOpen());
        if (idle) {
            accept(true);
        }
    }

    /** Records that this side has closed a client's connection, which stays open until the client closes its side. */
    void clientLingering(LingeringClose client) {
        lingeringClients.add(client);
    }

    private static <T> void mark(Set<T> set, T connection, boolean member) {
        set.remove(connection);
        if (member) {
            set.add(connection);
        }
    }

    private boolean closeIdleServerConnection() {
        Channel longestIdle = removeFirst(idleServerConnections);
        if (longestIdle != null) {
            longestIdle.close();
        }
        return longestIdle != null;
    }

    /**
     * Begins to close the client's connection that has been idle for longest; its place is free a little later. If too many clients
     * linger already, closes the connection of one of these at once instead.
     */
    private boolean closeIdleClient() {
        boolean tooManyLinger = lingeringClients.size() >= MAX_LINGERING_CLIENTS;
        LingeringClose longest = removeFirst(tooManyLinger ? lingeringClients : idleClients);
        if (longest == null) {
            return false;
        }
        if (tooManyLinger) {
            longest.closeNow();
        } else {
            longest.start();
        }
        return true;
    }

    private static <T> T removeFirst(Set<T> set) {
        if (set.isEmpty()) {
            return null;
        }
        T first = set.iterator().next();
        set.remove(first);
        return first;
    }
}
