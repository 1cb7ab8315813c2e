package walkpost.lab.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Reads ledgers, those that were cut off too. */
public final class LedgerReader {
    private LedgerReader() { }

    /**
     * What stands in a ledger, by time.
     *
     * @param cut whether it ends before the play did; it is good up to there
     */
    public record Record(List<Seen> seen, boolean cut) {
        /** Sorts what was seen: those who note it do so at the same time, and not always in order. */
        public static Record of(List<Seen> seen) {
            var sorted = new ArrayList<>(seen);
            sorted.sort(Comparator.comparingLong(Seen::t));
            boolean finished = seen.stream().anyMatch(s -> s instanceof Seen.Finished);
            return new Record(List.copyOf(sorted), !finished);
        }
    }

    /**
     * Reads a ledger up to its end, or to the first line that is no whole object.
     *
     * @throws IOException if the file can't be read
     */
    public static Record read(Path file) throws IOException {
        ObjectReader json = new ObjectMapper().readerFor(Seen.class);
        var seen = new ArrayList<Seen>();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                try {
                    seen.add(json.readValue(line));
                } catch (JsonProcessingException e) {
                    break;
                }
            }
        }
        return Record.of(seen);
    }
}
