package walkpost.proxy;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * The file with the {@link StoredServerList} that the processes of one proxy hand over during an upgrade. A line of ASCII comes first: the
 * name of the format with its number, the writer, and the length and the checksum of what follows, which is JSON. A new list replaces the
 * file by renaming, so that a reader sees the old list or the new one, whenever the writer is killed; whatever is incomplete, altered or
 * of another format is refused. It has no state; it may be used on any thread.
 */
final class ServerListFile {
    /** The longest list that is stored; discovery's longest response has the same bound. */
    static final int MAX_BODY_BYTES = ListRequest.MAX_RESPONSE_BYTES;
    private static final String FORMAT = "walkpost-servers/1";
    private static final int HEADER_WORDS = 4;
    private static final int MAX_HEADER_BYTES = 96;
    private static final int HEXADECIMAL = 16;
    private static final String TEMPORARY_SUFFIX = ".tmp";

    /** Thrown if the file has content that is no list of this format; the message says what was expected. */
    static final class InvalidListFileException extends IOException {
        private static final long serialVersionUID = 1L;

        InvalidListFileException(String message) {
            super(message);
        }
    }

    /** The first line of the file, which differs for lists that differ. */
    record Header(StoredServerList.WriterId writer, int bodyBytes, long checksum) {
        private static Header parse(String line) throws InvalidListFileException {
            String[] words = line.split(" ", -1);
            if (words.length != HEADER_WORDS || !words[0].equals(FORMAT)) {
                throw new InvalidListFileException("the first line is '" + line + "'; expected '" + FORMAT + " WRITER BYTES CHECKSUM'");
            }
            try {
                return new Header(new StoredServerList.WriterId(Long.parseLong(words[1])), Integer.parseInt(words[2]),
                        Long.parseLong(words[3], HEXADECIMAL));
            } catch (NumberFormatException e) {
                throw new InvalidListFileException("the first line is '" + line + "'; expected numbers");
            }
        }

        private byte[] toBytes() {
            return "%s %d %d %x\n".formatted(FORMAT, writer.startedNs(), bodyBytes, checksum).getBytes(StandardCharsets.US_ASCII);
        }
    }

    private final Path file;
    private final Path temporary;

    /**
     * Creates the access to a file, which need not exist.
     *
     * @param writer the process that writes through this object; its unfinished files have names of their own
     */
    ServerListFile(Path file, StoredServerList.WriterId writer) {
        this.file = file;
        this.temporary = file.resolveSibling(file.getFileName() + "." + writer.startedNs() + TEMPORARY_SUFFIX);
    }

    /** Deletes the unfinished files of processes that were killed while they wrote; one that still writes fails and writes again. */
    void deleteUnfinished() throws IOException {
        try (DirectoryStream<Path> unfinished = Files.newDirectoryStream(file.getParent(), file.getFileName() + ".*" + TEMPORARY_SUFFIX)) {
            for (Path path : unfinished) {
                Files.deleteIfExists(path);
            }
        } catch (NoSuchFileException e) {
            // There is no directory, and so no file in it.
        }
    }

    /** Returns the first line of the file; empty if there is no file. */
    Optional<Header> readHeader() throws IOException {
        try (InputStream in = open()) {
            return Optional.of(readHeader(in));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
    }

    /**
     * Returns the list in the file; empty if there is no file.
     *
     * @throws InvalidListFileException if the file holds no complete list of this format
     * @throws IOException if the file can't be read
     */
    Optional<StoredServerList> read() throws IOException {
        try (InputStream in = open()) {
            Header header = readHeader(in);
            if (header.bodyBytes < 0 || header.bodyBytes > MAX_BODY_BYTES) {
                throw new InvalidListFileException("the list has " + header.bodyBytes + " bytes; expected up to " + MAX_BODY_BYTES);
            }
            byte[] body = in.readNBytes(header.bodyBytes + 1);
            if (body.length != header.bodyBytes || checksum(header.writer, body) != header.checksum) {
                throw new InvalidListFileException("the list is cut short or altered");
            }
            return Optional.of(parseBody(header.writer, body));
        } catch (NoSuchFileException e) {
            return Optional.empty();
        }
    }

    /**
     * Replaces the file by one with a new list. If that fails, the file stays as it was; but a list that is too long leaves none, because
     * the file would keep a list that has been replaced.
     *
     * @return the first line of the new file
     */
    Header write(StoredServerList list) throws IOException {
        byte[] body = toBody(list);
        if (body.length > MAX_BODY_BYTES) {
            Files.deleteIfExists(file);
            throw new IOException("the list has " + body.length + " bytes; expected up to " + MAX_BODY_BYTES);
        }
        var header = new Header(list.writer(), body.length, checksum(list.writer(), body));
        byte[] start = header.toBytes();
        byte[] content = Arrays.copyOf(start, start.length + body.length);
        System.arraycopy(body, 0, content, start.length, body.length);
        try {
            Files.write(temporary, content);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
        return header;
    }

    private InputStream open() throws IOException {
        return new BufferedInputStream(Files.newInputStream(file));
    }

    private static Header readHeader(InputStream in) throws IOException {
        var line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0 || line.length() == MAX_HEADER_BYTES) {
                throw new InvalidListFileException("the first line has no end within " + MAX_HEADER_BYTES + " bytes");
            }
            line.append((char) next);
        }
        return Header.parse(line.toString());
    }

    private static long checksum(StoredServerList.WriterId writer, byte[] body) {
        var checksum = new CRC32();
        checksum.update(Long.toString(writer.startedNs()).getBytes(StandardCharsets.US_ASCII));
        checksum.update(body);
        return checksum.getValue();
    }

    private static byte[] toBody(StoredServerList list) throws IOException {
        var body = new ByteArrayOutputStream();
        try (JsonGenerator json = Config.JSON.createGenerator(body)) {
            json.writeStartObject();
            json.writeStringField("proxy", list.proxy());
            json.writeStringField("discovery", Config.formatAddress(list.discovery()));
            json.writeNumberField("version", list.version());
            json.writeNumberField("replaced_version", list.replacedVersion());
            json.writeArrayFieldStart("servers");
            for (ServerListEntry entry : list.entries()) {
                entry.writeTo(json);
            }
            json.writeEndArray();
            json.writeObjectFieldStart("included_at_ns");
            for (Map.Entry<String, Long> included : list.includedAtNs().entrySet()) {
                json.writeNumberField(included.getKey(), included.getValue());
            }
            json.writeEndObject();
            json.writeEndObject();
        }
        return body.toByteArray();
    }

    private static StoredServerList parseBody(StoredServerList.WriterId writer, byte[] body) throws IOException {
        JsonNode json = Config.JSON.readTree(body);
        InetSocketAddress discovery = Config.parseAddress(json.path("discovery").asText());
        if (discovery == null || !json.path("proxy").isTextual() || !json.path("version").canConvertToLong()
                || !json.path("replaced_version").canConvertToLong() || !json.path("servers").isArray()
                || !json.path("included_at_ns").isObject()) {
            throw new InvalidListFileException(
                    "expected 'proxy', 'discovery', 'version', 'replaced_version', 'servers' and 'included_at_ns'");
        }
        var entries = new ArrayList<ServerListEntry>();
        for (JsonNode server : json.path("servers")) {
            ServerListEntry entry = ServerListEntry.parse(server);
            if (entry == null) {
                throw new InvalidListFileException("the entry " + server + " is malformed");
            }
            entries.add(entry);
        }
        var includedAtNs = new HashMap<String, Long>();
        json.path("included_at_ns").properties().forEach(included -> includedAtNs.put(included.getKey(), included.getValue().asLong()));
        return new StoredServerList(json.path("proxy").asText(), writer, discovery, json.path("version").asLong(),
                json.path("replaced_version").asLong(), entries, includedAtNs);
    }
}
