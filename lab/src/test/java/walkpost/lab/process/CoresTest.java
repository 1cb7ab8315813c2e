package walkpost.lab.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Which cores processes are put on. */
final class CoresTest {
    @Test
    void theKernelsListsAreRead() {
        assertThat(Cores.listed("5-7")).containsExactly(5, 6, 7);
        assertThat(Cores.listed("0,2-3,11")).containsExactly(0, 2, 3, 11);
    }

    @Test
    void noProcessIsPutOnACoreThatTheLabMayNotUse() throws Exception {
        String allowed = java.nio.file.Files.readAllLines(java.nio.file.Path.of("/proc/self/status")).stream()
                .filter(line -> line.startsWith("Cpus_allowed_list:")).findFirst().orElseThrow().replaceAll("\\s|.*:", "");
        assertThat(IntStream.range(0, 20).map(Cores::of)).isSubsetOf(Cores.listed(allowed));
    }
}
