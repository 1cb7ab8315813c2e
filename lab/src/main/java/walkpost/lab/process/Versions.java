package walkpost.lab.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Builds versions of the program out of the repository's history, each once: the tree of a commit is laid out in a folder
 * of its own and built there by its own deploy file, so that any commit that the platform could run can be played.
 */
public final class Versions {
    private static final String BUILT = ".built-by-the-lab";
    private static final int SHOWN = 12;

    private final Path repository;
    private final Path folder;

    /** Keeps versions of a repository in a folder. */
    public Versions(Path repository, Path folder) {
        this.repository = repository;
        this.folder = folder.toAbsolutePath();
    }

    /**
     * Returns the program that a word stands for: {@code plain:CHOICE}, the folder of a built checkout, or a commit.
     *
     * @throws IOException if it is none of these, or the commit can't be built
     */
    public Program named(String word) throws IOException {
        if (word.startsWith("plain:") || Files.isDirectory(Path.of(word))) {
            return Program.named(word);
        }
        String commit = output(List.of("git", "rev-parse", "--verify", "--quiet", word + "^{commit}"), repository);
        if (commit.isEmpty()) {
            throw new IOException("'" + word + "': expected a folder, a commit or plain:CHOICE");
        }
        String name = commit.substring(0, SHOWN);
        Path root = folder.resolve(name);
        if (!Files.exists(root.resolve(BUILT))) {
            Files.createDirectories(root);
            run(List.of("/bin/sh", "-c", "git archive " + commit + " | tar -x -C \"$1\"", "sh", root.toString()), repository);
            run(List.of("/bin/sh", "-c", Program.deployed(root, "build")), root);
            Files.createFile(root.resolve(BUILT));
        }
        return Program.ofCheckout(name, root);
    }

    private static String output(List<String> command, Path in) throws IOException {
        Process process = new ProcessBuilder(command).directory(in.toFile()).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        return new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8).strip();
    }

    private static void run(List<String> command, Path in) throws IOException {
        Process process = new ProcessBuilder(command).directory(in.toFile()).redirectErrorStream(true).start();
        String said = new String(process.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        try {
            if (process.waitFor() != 0) {
                throw new IOException(String.join(" ", command) + " failed in " + in + ": " + said.strip());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
