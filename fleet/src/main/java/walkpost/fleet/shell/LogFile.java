package walkpost.fleet.shell;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A file of records, each behind its checksum (CRC-32C, RFC 3720) and length. A record is on disk once {@link #append} has come back. One
 * that a crash left half written is at the end and told by its checksum; a damaged one with an intact one after it has rotted, since
 * a record is begun only when the one before is on disk. One thread uses it at a time.
 */
class LogFile implements AutoCloseable {
    /** Checksum over all that follows, then the length of the record's own bytes, four bytes each. */
    static final int HEAD = 8;

    /**
     * What a file holds.
     *
     * @param records those intact, from the start
     * @param intact bytes that they take
     * @param length the file's bytes; more than {@code intact} where its tail is torn
     * @param rotten whether an intact record comes after a damaged one: then this is no torn tail
     */
    record Scan(List<byte[]> records, int intact, int length, boolean rotten) { }

    private final FileChannel channel;
    private long end;

    /** Opens a file for records to be added at {@code end}; whatever it holds beyond is cut. */
    LogFile(Path file, long end) throws IOException {
        channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        this.end = end;
        try {
            if (channel.size() > end) {
                // It needs no wait: what is not cut on disk by the next wait's end is cut at the next start.
                channel.truncate(end);
            }
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /** Reads a file. */
    static Scan scan(Path file) throws IOException {
        if (Files.size(file) > Integer.MAX_VALUE - 16) {
            throw new IOException("too long to be an order log");
        }
        byte[] bytes = Files.readAllBytes(file);
        var records = new ArrayList<byte[]>();
        int at = 0;
        for (int length = intact(bytes, at); length > 0; length = intact(bytes, at)) {
            records.add(Arrays.copyOfRange(bytes, at + HEAD, at + HEAD + length));
            at += HEAD + length;
        }
        boolean rotten = false;
        for (int beyond = at + 1; beyond < bytes.length && !rotten; beyond++) {
            rotten = intact(bytes, beyond) > 0;
        }
        return new Scan(records, at, bytes.length, rotten);
    }

    /** Returns the length of the intact record that begins here, 0 where there is none. */
    private static int intact(byte[] bytes, int at) {
        if (bytes.length - at <= HEAD) {
            return 0;
        }
        ByteBuffer head = ByteBuffer.wrap(bytes, at, HEAD);
        int checksum = head.getInt();
        int length = head.getInt();
        return length > 0 && length <= bytes.length - at - HEAD && checksum == checksum(bytes, at + 4, length + 4) ? length : 0;
    }

    private static int checksum(byte[] bytes, int from, int length) {
        var crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }

    /** Returns a record as it stands in a file. */
    static byte[] framed(byte[] record) {
        byte[] framed = ByteBuffer.allocate(HEAD + record.length).putInt(0).putInt(record.length).put(record).array();
        ByteBuffer.wrap(framed).putInt(checksum(framed, 4, framed.length - 4));
        return framed;
    }

    /** Puts a record at the end, on disk on return. After an error nothing is known of it, and the file is not to be used again. */
    void append(byte[] record) throws IOException {
        write(record);
        force();
    }

    /** Puts a record at the end without waiting for the disk. */
    void write(byte[] record) throws IOException {
        ByteBuffer framed = ByteBuffer.wrap(framed(record));
        for (long at = end; framed.hasRemaining(); ) {
            at += channel.write(framed, at);
        }
        end += framed.limit();
    }

    /** Waits for the disk to have all that was written; a file's length goes with it, its times need not. */
    void force() throws IOException {
        channel.force(false);
    }

    long length() {
        return end;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
