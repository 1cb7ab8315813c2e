package walkpost.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A sound tile server that does with each request what its target says, and records what reached it. */
final class SoakServer implements Closeable {
    private static final int BACKLOG = 256;
    /** A body that is read slowly is read in this many parts. */
    private static final int TAKE_PARTS = 50;
    /** Small, so that a body that is read slowly waits at the proxy and not in this machine's buffers. */
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private final ServerSocket listener;
    private final SoakRecord record;

    SoakServer(String host, SoakRecord record) throws IOException {
        this.record = record;
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), BACKLOG);
        SoakThreads.start("server", this::acceptAll);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void acceptAll() throws IOException {
        while (!listener.isClosed()) {
            Socket accepted = listener.accept();
            SoakThreads.start("server-connection", () -> serve(accepted));
        }
    }

    private void serve(Socket accepted) throws IOException, InterruptedException {
        try (var connection = new SoakConnection(accepted)) {
            boolean open = true;
            while (open) {
                SoakConnection.Head head = connection.readHead();
                if (head == null) {
                    return;
                }
                open = serve(connection, head);
            }
        }
    }

    /** Serves one request; returns whether the connection stays open. */
    private boolean serve(SoakConnection connection, SoakConnection.Head head) throws IOException, InterruptedException {
        String id = head.field("x-request-id");
        record.begun(id, System.nanoTime());
        SoakRequest.ServerPlan plan = SoakRequest.ServerPlan.parse(head.first().split(" ")[1]);
        readBody(connection, head, plan.takeMs());
        record.ran(id, System.nanoTime());
        SoakThreads.sleepMs(plan.workMs());
        answer(connection, id, plan);
        return plan.framing() != SoakRequest.Framing.CLOSE;
    }

    private static void readBody(SoakConnection connection, SoakConnection.Head head, int takeMs) throws IOException, InterruptedException {
        if (head.field("content-length") == null && head.field("transfer-encoding") == null) {
            return;
        }
        String length = head.field("content-length");
        int partBytes = length == null || takeMs == 0 ? Integer.MAX_VALUE : Math.max(1, Integer.parseInt(length) / TAKE_PARTS);
        int[] sincePause = {0};
        connection.readBody(head, (bytes, count) -> {
            sincePause[0] += count;
            if (sincePause[0] >= partBytes) {
                sincePause[0] = 0;
                pause(takeMs / TAKE_PARTS);
            }
        });
    }

    private static void pause(int ms) throws IOException {
        try {
            SoakThreads.sleepMs(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private void answer(SoakConnection connection, String id, SoakRequest.ServerPlan plan) throws IOException, InterruptedException {
        int given = 0;
        try {
            connection.send(switch (plan.framing()) {
                case LENGTH -> "HTTP/1.1 200 OK\r\nContent-Length: " + plan.answerBytes() + "\r\n\r\n";
                case CHUNKED -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                case CLOSE -> "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
            });
            SoakThreads.sleepMs(plan.firstMs());
            while (given < plan.answerBytes()) {
                int end = Math.min(plan.answerBytes(), given + plan.pieceBytes());
                connection.send(framed(SoakRequest.answer(id, given, end), plan.framing()));
                given = end;
                if (given < plan.answerBytes()) {
                    SoakThreads.sleepMs(plan.everyMs());
                }
            }
            if (plan.framing() == SoakRequest.Framing.CHUNKED) {
                connection.send("0\r\n\r\n");
            }
        } catch (IOException e) {
            record.cutOffs.add(new SoakRecord.CutOff(id, System.nanoTime(), given));
            throw e;
        }
    }

    private static byte[] framed(byte[] piece, SoakRequest.Framing framing) {
        if (framing != SoakRequest.Framing.CHUNKED) {
            return piece;
        }
        byte[] size = (Integer.toHexString(piece.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] chunk = new byte[size.length + piece.length + 2];
        System.arraycopy(size, 0, chunk, 0, size.length);
        System.arraycopy(piece, 0, chunk, size.length, piece.length);
        chunk[chunk.length - 2] = '\r';
        chunk[chunk.length - 1] = '\n';
        return chunk;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
