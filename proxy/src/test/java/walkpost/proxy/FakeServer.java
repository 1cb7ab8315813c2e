package walkpost.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A server, or discovery, that the test plays: the test accepts its connections and sends the responses. Its methods may be called on any
 * thread.
 */
final class FakeServer implements Closeable {
    private final ServerSocket listener;
    private final List<RawConnection> connections = new ArrayList<>();

    FakeServer() throws IOException {
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(10_000);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Waits for the next connection. */
    RawConnection accept() throws IOException {
        var connection = new RawConnection(listener.accept());
        synchronized (connections) {
            connections.add(connection);
        }
        return connection;
    }

    /** Accepts all connections from now on and answers each request with the same response, on threads of its own; returns the requests. */
    BlockingQueue<RawConnection.Message> answerAll(String response) {
        var requests = new LinkedBlockingQueue<RawConnection.Message>();
        acceptAll(connection -> {
            for (RawConnection.Message request = connection.read(); request != null; request = connection.read()) {
                requests.add(request);
                connection.send(response);
            }
        });
        return requests;
    }

    /** Accepts all connections from now on, and handles each on a thread of its own. */
    void acceptAll(ConnectionHandler handler) {
        background(() -> {
            while (true) {
                RawConnection connection = accept();
                background(() -> handler.handle(connection));
            }
        });
    }

    /** Handles one connection. */
    interface ConnectionHandler {
        void handle(RawConnection connection) throws IOException;
    }

    static String okResponse(String body) {
        return response("200 OK", body);
    }

    static String response(String status, String body, String... headers) {
        return "HTTP/1.1 " + status + "\r\n" + (headers.length == 0 ? "" : String.join("\r\n", headers) + "\r\n")
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Removes and returns the next element; fails if there is none for 10 s. */
    static <T> T takeNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(10, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("the queue stayed empty for 10 s");
        }
        return next;
    }

    interface Task {
        void run() throws IOException;
    }

    private static void background(Task task) {
        var thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The test is over, or the client has closed the connection: no further request can be answered.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return ((InetSocketAddress) listener.getLocalSocketAddress()).getPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (connections) {
            for (RawConnection connection : connections) {
                connection.close();
            }
        }
    }
}
