package walkpost.lab.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A version of the program: the command that starts one proxy, and the folder it is started in.
 *
 * @param name what the report calls it
 */
public record Program(String name, Path folder, List<String> command) {
    private static final String DEPLOY = "deploy/balancer.toml";

    public Program {
        command = List.copyOf(command);
    }

    /**
     * Returns the program of a checkout that is built, started as the platform starts it: by {@code run} in its deploy
     * file, from its root.
     *
     * @throws IOException if the folder has no deploy file, or that no {@code run}
     */
    public static Program ofCheckout(String name, Path root) throws IOException {
        JsonNode deploy = new TomlMapper().readTree(Files.readString(root.resolve(DEPLOY)));
        String run = deploy.path("run").asText("");
        if (run.isEmpty()) {
            throw new IOException(root.resolve(DEPLOY) + ": 'run': missing, expected a command");
        }
        return new Program(name, root, List.of("/bin/sh", "-c", run));
    }
}
