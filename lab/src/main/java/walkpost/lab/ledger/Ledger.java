package walkpost.lab.ledger;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.BufferedWriter;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Writes what is seen to a file, an object a line, as it happens. Anybody may note something and nobody waits for the
 * disk: one thread of the ledger's own writes, and flushes whenever it has caught up.
 */
public final class Ledger implements Closeable {
    private static final long LOOK_MS = 100;

    private final LinkedBlockingQueue<Seen> queue = new LinkedBlockingQueue<>();
    private final ObjectWriter json = new ObjectMapper().disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET)
            .disable(com.fasterxml.jackson.databind.SerializationFeature.FLUSH_AFTER_WRITE_VALUE).writerFor(Seen.class);
    private final BufferedWriter out;
    private final Thread writer;
    private volatile boolean closing;
    private volatile IOException failure;

    /** Begins a ledger in a new file. */
    public Ledger(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
        writer = new Thread(this::write, "ledger");
        writer.start();
    }

    /** Notes what was seen. */
    public void note(Seen seen) {
        queue.add(seen);
    }

    private void write() {
        try (out) {
            while (true) {
                // Closing is looked at first: what was noted before it is then in the queue already.
                boolean last = closing;
                Seen seen = queue.poll();
                if (seen == null) {
                    out.flush();
                    if (last) {
                        return;
                    }
                    seen = queue.poll(LOOK_MS, TimeUnit.MILLISECONDS);
                }
                if (seen != null) {
                    json.writeValue(out, seen);
                    out.newLine();
                }
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Writes all that was noted, and ends.
     *
     * @throws IOException if something could not be written; the ledger is then cut off
     */
    @Override
    public void close() throws IOException {
        closing = true;
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new UncheckedIOException(new IOException("interrupted while the ledger was written", e));
        }
        if (failure != null) {
            throw failure;
        }
    }
}
