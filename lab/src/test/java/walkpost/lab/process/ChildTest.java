package walkpost.lab.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ChildTest {
    /** How the kernel calls the first signal, SIGHUP, in a mask. */
    private static final long HUP = 1;

    @TempDir
    private Path dir;

    /** Starts a lab that ignores SIGHUP, as {@code nohup} has it. */
    private Process deafLab() throws Exception {
        return new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh",
                ProcessHandle.current().info().command().orElseThrow(), "-cp", System.getProperty("java.class.path"),
                ChildMain.class.getName(), dir.resolve("log").toString()).redirectError(ProcessBuilder.Redirect.INHERIT).start();
    }

    private static long ignored(long pid) throws Exception {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
            if (line.startsWith("SigIgn:")) {
                return Long.parseUnsignedLong(line.substring("SigIgn:".length()).strip(), 16);
            }
        }
        throw new AssertionError("no SigIgn");
    }

    @Test
    void aChildHearsEverySignalAndEndsWithALabThatIsKilled() throws Exception {
        Process lab = deafLab();
        long pid = Long.parseLong(lab.inputReader().readLine());
        ProcessHandle child = ProcessHandle.of(pid).orElseThrow();
        CompletableFuture<ProcessHandle> ended = child.onExit();
        // Said before the last step of its start: once it is what was asked for, its signals are as they stay.
        while (child.isAlive() && !child.info().command().orElse("").endsWith("sleep")) {
            Thread.onSpinWait();
        }
        assertThat(ignored(lab.pid()) & HUP).isEqualTo(HUP);
        assertThat(ignored(pid) & HUP).isZero();
        lab.destroyForcibly();
        ended.join();
        assertThat(child.isAlive()).isFalse();
    }

    @Test
    void whatAChildHasSaidLastIsKept() throws Exception {
        var program = new Program("echo", dir, List.of("/bin/sh", "-c", "echo first; echo last; exit 7"));
        Child child = Child.start(program, 0, Map.of(), dir.resolve("log"));
        assertThat(child.ended().join()).isEqualTo(7);
        assertThat(child.lastWords()).isEqualTo("first|last");
        assertThat(child.use()).isNull();
    }
}
