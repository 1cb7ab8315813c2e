package walkpost.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Injects failures into the system calls of a process under test, with the library in {@code lab/src/main/c}. */
final class SystemCallFaults {
    private static final String SOURCE = "lab/src/main/c/syscall_faults.c";
    private static final long POLL_INTERVAL_MS = 5;

    private final Path armedFile;
    private final Path log;
    private final Path library;
    private final String plan;

    /**
     * Builds the library.
     *
     * @param dir a directory of the test
     * @param plan the calls and their errors, in the form that the library's first comment describes
     */
    SystemCallFaults(Path dir, String plan) throws IOException, InterruptedException {
        this.plan = plan;
        armedFile = dir.resolve("armed");
        log = dir.resolve("faults.log");
        library = dir.resolve("faults.so");
        Process compiler = new ProcessBuilder("cc", "-std=c11", "-O1", "-fPIC", "-shared", "-o", library.toString(),
                source().toString(), "-ldl").inheritIO().start();
        if (compiler.waitFor() != 0) {
            throw new IOException(SOURCE + " does not compile; the output of cc says why");
        }
    }

    private static Path source() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve(SOURCE))) {
            folder = folder.getParent();
        }
        return folder.resolve(SOURCE);
    }

    /** Returns the environment variables that inject the failures into a process while they are armed. */
    Map<String, String> environment() {
        var variables = new HashMap<String, String>();
        variables.put("LD_PRELOAD", library.toString());
        variables.put("SYSCALL_FAULTS", plan + ";every=0;for=600000;armed=" + armedFile);
        variables.put("SYSCALL_FAULTS_LOG", log.toString());
        return variables;
    }

    /** Makes calls fail from now on. */
    void arm() throws IOException {
        Files.createFile(armedFile);
    }

    /** Makes no call fail from now on. */
    void disarm() throws IOException {
        Files.delete(armedFile);
    }

    /** Returns the faults injected so far, one line each. */
    List<String> injected() throws IOException {
        return Files.exists(log) ? Files.readAllLines(log) : List.of();
    }

    /** Waits until at least {@code count} faults have been injected. */
    void await(int count) throws IOException, InterruptedException {
        while (injected().size() < count) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }
}
