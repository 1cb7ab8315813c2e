package walkpost.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Lets system calls of a process under test fail, by the library in {@code lab/src/main/c}; a test says from when until when. */
final class SystemCallFaults {
    private static final String SOURCE = "lab/src/main/c/syscall_faults.c";
    private static final long LOOK_MS = 5;

    private final Path armed;
    private final Path log;
    private final Path library;
    private final String plan;

    /**
     * Builds the library in a folder of the test's.
     *
     * @param plan the calls and their errors, as the library's head comment has them
     */
    SystemCallFaults(Path dir, String plan) throws IOException, InterruptedException {
        this.plan = plan;
        armed = dir.resolve("armed");
        log = dir.resolve("faults.log");
        library = dir.resolve("faults.so");
        Process compiler = new ProcessBuilder("cc", "-std=c11", "-O1", "-fPIC", "-shared", "-o", library.toString(),
                source().toString(), "-ldl").inheritIO().start();
        if (compiler.waitFor() != 0) {
            throw new IOException(SOURCE + " does not compile");
        }
    }

    private static Path source() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve(SOURCE))) {
            folder = folder.getParent();
        }
        return folder.resolve(SOURCE);
    }

    /** Returns the variables that a process needs to have its calls fail while {@link #begin} holds. */
    Map<String, String> environment() {
        var variables = new HashMap<String, String>();
        variables.put("LD_PRELOAD", library.toString());
        variables.put("SYSCALL_FAULTS", plan + ";every=0;for=600000;armed=" + armed);
        variables.put("SYSCALL_FAULTS_LOG", log.toString());
        return variables;
    }

    /** From now on calls fail. */
    void begin() throws IOException {
        Files.createFile(armed);
    }

    /** From now on none does. */
    void end() throws IOException {
        Files.delete(armed);
    }

    /** Returns the faults that came about so far, a line each. */
    List<String> seen() throws IOException {
        return Files.exists(log) ? Files.readAllLines(log) : List.of();
    }

    /** Waits until so many faults have come about. */
    void await(int count) throws IOException, InterruptedException {
        while (seen().size() < count) {
            Thread.sleep(LOOK_MS);
        }
    }
}
