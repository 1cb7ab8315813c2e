package walkpost.lab.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One end of an HTTP/1.1 connection in a soak. Used by one thread at a time; each read ends at a time that its caller names. */
final class SoakConnection implements Closeable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private final Socket socket;
    private final InputStream in;
    private final OutputStream out;
    private long readUntilNs = Long.MAX_VALUE;

    /** The first line and the header fields of a message; names are in lower case. */
    record Head(String first, Map<String, String> fields) {
        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String field(String name) {
            return fields.get(name);
        }
    }

    SoakConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 4 * 1024);
        out = socket.getOutputStream();
    }

    static SoakConnection connect(InetSocketAddress address) throws IOException {
        return connect(address, 0);
    }

    /** Connects with a receive buffer of a size, or the system's if it is 0. */
    static SoakConnection connect(InetSocketAddress address, int receiveBufferBytes) throws IOException {
        var socket = new Socket();
        try {
            if (receiveBufferBytes > 0) {
                socket.setReceiveBufferSize(receiveBufferBytes);
            }
            socket.connect(address, CONNECT_TIMEOUT_MS);
            return new SoakConnection(socket);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Sets the time until which reads may wait; a later one throws {@link SocketTimeoutException}. */
    void readUntil(long atNs) {
        readUntilNs = atNs;
    }

    void send(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    void send(String text) throws IOException {
        send(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one byte; returns -1 at the end. */
    int read() throws IOException {
        if (in.available() == 0) {
            limitWait();
        }
        return in.read();
    }

    private void limitWait() throws IOException {
        if (readUntilNs == Long.MAX_VALUE) {
            return;
        }
        long leftMs = TimeUnit.NANOSECONDS.toMillis(readUntilNs - System.nanoTime());
        if (leftMs <= 0) {
            throw new SocketTimeoutException("the time to read is over");
        }
        socket.setSoTimeout((int) Math.min(Integer.MAX_VALUE, leftMs));
    }

    /** Reads some bytes, as {@link InputStream#read(byte[], int, int)} does. */
    int read(byte[] into, int offset, int length) throws IOException {
        if (in.available() == 0) {
            limitWait();
        }
        return in.read(into, offset, length);
    }

    /** Reads the head of a message; returns null if the connection ends before its first byte. */
    Head readHead() throws IOException {
        String first = line();
        if (first == null) {
            return null;
        }
        var fields = new LinkedHashMap<String, String>();
        for (String line = requiredLine(); !line.isEmpty(); line = requiredLine()) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return new Head(first, fields);
    }

    private String requiredLine() throws IOException {
        String line = line();
        if (line == null) {
            throw new EOFException("the connection ended within a message");
        }
        return line;
    }

    /** Reads a line; returns null at the end of the input. */
    private String line() throws IOException {
        var line = new ByteArrayOutputStream(64);
        for (int b = read(); b != '\n'; b = read()) {
            if (b < 0) {
                if (line.size() > 0) {
                    throw new EOFException("the connection ended within a line");
                }
                return null;
            }
            if (line.size() > MAX_HEAD_BYTES) {
                throw new IOException("a line of more than " + MAX_HEAD_BYTES + " bytes");
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1).strip();
    }

    /** Is given each part of a body as it arrives. */
    interface BodyReader {
        void read(byte[] bytes, int length) throws IOException;
    }

    /** Reads the body that belongs to the head of an answer, to its end. */
    void readBody(Head head, BodyReader reader) throws IOException {
        String length = head.field("content-length");
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            for (int size = Integer.parseInt(requiredLine(), 16); size > 0; size = Integer.parseInt(requiredLine(), 16)) {
                readExactly(size, reader);
                requiredLine();
            }
            requiredLine();
        } else if (length != null) {
            readExactly(Integer.parseInt(length), reader);
        } else {
            readToEnd(reader);
        }
    }

    private void readExactly(int bytes, BodyReader reader) throws IOException {
        byte[] buffer = new byte[Math.min(bytes, 4 * 1024)];
        for (int left = bytes; left > 0;) {
            int count = read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("the connection ended " + left + " bytes before the end of a body");
            }
            reader.read(buffer, count);
            left -= count;
        }
    }

    private void readToEnd(BodyReader reader) throws IOException {
        byte[] buffer = new byte[4 * 1024];
        for (int count = read(buffer, 0, buffer.length); count >= 0; count = read(buffer, 0, buffer.length)) {
            reader.read(buffer, count);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
