package walkpost.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Discovery of a fleet whose list never changes. */
final class SoakDiscovery implements Closeable {
    private static final int BACKLOG = 64;
    private static final String NOTHING_NEW = "{\"version\":41,\"full\":false,\"servers\":[]}";

    private final ServerSocket listener;
    private volatile String wholeList = "";

    SoakDiscovery(String host) throws IOException {
        listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(host));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Answers calls from now on. */
    void start(String list) {
        wholeList = list;
        SoakThreads.start("discovery", () -> {
            while (!listener.isClosed()) {
                Socket accepted = listener.accept();
                SoakThreads.start("discovery-call", () -> answer(accepted));
            }
        });
    }

    private void answer(Socket accepted) throws IOException, InterruptedException {
        try (var connection = new SoakConnection(accepted)) {
            for (SoakConnection.Head head = connection.readHead(); head != null; head = connection.readHead()) {
                int hold = head.first().indexOf("hold_ms=");
                if (hold >= 0) {
                    SoakThreads.sleepMs(Long.parseLong(head.first().substring(hold + "hold_ms=".length()).replaceAll("\\D.*", "")));
                }
                String body = hold < 0 ? wholeList : NOTHING_NEW;
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
