package walkpost.lab.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class LedgerTest {
    private static final Seen LEFT = new Seen.Left(20, "a", 1);
    private static final Seen TOLD = new Seen.Told(10, 0, 42, false, List.of(new Seen.Line("s1", "ready", 7)));
    private static final Seen END = new Seen.Finished(30, true, 100, 150, 200, 300);

    @TempDir
    private Path dir;

    private Path written(Seen... seen) throws Exception {
        Path file = dir.resolve("ledger");
        try (var ledger = new Ledger(file)) {
            for (Seen one : seen) {
                ledger.note(one);
            }
        }
        return file;
    }

    @Test
    void whatWasNotedIsReadByTime() throws Exception {
        LedgerReader.Record record = LedgerReader.read(written(LEFT, TOLD, END));
        assertThat(record.seen()).containsExactly(TOLD, LEFT, END);
        assertThat(record.cut()).isFalse();
    }

    @Test
    void aLedgerTornInALineIsGoodUpToThereAndSaysSo() throws Exception {
        Path file = written(TOLD, LEFT, END);
        byte[] all = Files.readAllBytes(file);
        Files.write(file, java.util.Arrays.copyOf(all, all.length - 10));
        LedgerReader.Record record = LedgerReader.read(file);
        assertThat(record.seen()).containsExactly(TOLD, LEFT);
        assertThat(record.cut()).isTrue();
    }
}
