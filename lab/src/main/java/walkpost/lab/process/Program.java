package walkpost.lab.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import walkpost.lab.baseline.PlainMain;
import walkpost.lab.baseline.Wrong;

/**
 * A version of the program: the command that starts one proxy, and the folder it is started in.
 *
 * @param name what the report calls it
 */
public record Program(String name, Path folder, List<String> command) {
    private static final String PLAIN = "plain:";
    private static final Pattern HEAP = Pattern.compile("-Xmx\\w+");
    private static final String SERVE = "serve";
    private static final List<String> SHELL = List.of("/bin/sh", "-c");
    private static final String DEPLOY = "deploy/balancer.toml";

    public Program {
        command = List.copyOf(command);
    }

    /** Returns the lab's own plain proxy, with a choice by its name, and what it does wrong, or null. */
    public static Program plain(String choice, Wrong wrong) {
        var command = new ArrayList<>(List.of(ProcessHandle.current().info().command().orElse("java"), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xshare:auto", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
                PlainMain.class.getName(), choice));
        if (wrong != null) {
            command.add(wrong.name());
        }
        return new Program("plain:" + choice + (wrong == null ? "" : "/" + wrong), Path.of("").toAbsolutePath(), command);
    }

    /**
     * Returns the program that a word stands for: {@code plain:CHOICE}, the same with a planted fault, or the folder of a built checkout.
     *
     * @throws IOException if it is neither
     */
    public static Program named(String word) throws IOException {
        if (word.startsWith(PLAIN)) {
            String[] said = word.substring(PLAIN.length()).split("/", 2);
            if (!PlainMain.CHOICES.contains(said[0])) {
                throw new IOException("'" + word + "': no such choice, expected one of " + PlainMain.CHOICES);
            }
            return plain(said[0], said.length < 2 ? null : wrong(word, said[1]));
        }
        Path root = Path.of(word).toAbsolutePath().normalize();
        return ofCheckout(root.getFileName().toString(), root);
    }

    private static Wrong wrong(String word, String name) throws IOException {
        return Arrays.stream(Wrong.values()).filter(w -> w.name().equals(name)).findFirst().orElseThrow(() ->
                new IOException("'" + word + "': no such fault, expected one of " + Arrays.toString(Wrong.values())));
    }

    /**
     * Returns the program of a checkout that is built, started as the platform starts it: by {@code run} in its deploy
     * file, from its root.
     *
     * @throws IOException if the folder has no deploy file, or that no {@code run}
     */
    public static Program ofCheckout(String name, Path root) throws IOException {
        return new Program(name, root, List.of(SHELL.get(0), SHELL.get(1), deployed(root, "run")));
    }

    /**
     * Returns what runs another command of the same program, in the place of the one that serves.
     *
     * @throws IOException if this is no command that ends with {@code serve}
     */
    public Program instead(String... words) throws IOException {
        var command = new ArrayList<>(this.command);
        String last = command.remove(command.size() - 1);
        if (last.equals(SERVE)) {
            command.addAll(List.of(words));
        } else if (last.endsWith(" " + SERVE) && command.equals(SHELL)) {
            // A shell's own words: these take the place of its last one whatever stands in them.
            command.addAll(List.of(last.substring(0, last.length() - SERVE.length()) + "\"$@\"", name));
            command.addAll(List.of(words));
        } else {
            throw new IOException(name + ": '" + last + "': expected a command that ends with '" + SERVE + "'");
        }
        return new Program(name, folder, command);
    }

    /** Returns the same with so many bytes for objects, wherever its command says how many. */
    public Program withHeap(long bytes) {
        return new Program(name, folder, command.stream().map(part -> HEAP.matcher(part).replaceAll("-Xmx" + bytes)).toList());
    }

    /** Returns a command of a checkout's deploy file. */
    static String deployed(Path root, String key) throws IOException {
        JsonNode deploy = new TomlMapper().readTree(Files.readString(root.resolve(DEPLOY)));
        String command = deploy.path(key).asText("");
        if (command.isEmpty()) {
            throw new IOException(root.resolve(DEPLOY) + ": '" + key + "': missing, expected a command");
        }
        return command;
    }
}
