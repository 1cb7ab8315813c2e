package walkpost.lab.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.stream.IntStream;
import walkpost.lab.scenario.Members;

/** What a member finds on disk at its start: the fleet's file, the secret that all share, and its directory, or none. */
public final class MemberFiles {
    /** What the program looks for the fleet's file in. */
    public static final String VARIABLE = "WALKPOST_FLEET";
    private static final String FILE = "fleet.toml";
    private static final String SECRET = "fleet.key";
    private static final String DIRECTORY = "orders";
    private static final long MS = 1_000;

    private final Members members;
    private final Path folder;

    /** Creates the files of a member in its folder; nothing is written yet. */
    public MemberFiles(Members members, Path folder) {
        this.members = members;
        this.folder = folder;
    }

    /**
     * Writes file and secret; returns where the file is.
     *
     * @param number which member this is
     * @param bind its own address
     * @param advertised where the others reach each member, this one too
     * @param secret the same for all
     * @throws IOException if they can't be written
     */
    public Path write(int number, InetSocketAddress bind, List<InetSocketAddress> advertised, String secret) throws IOException {
        ObjectNode file = JsonNodeFactory.instance.objectNode();
        file.put("format", 1).put("cluster", "lab").put("name", "n" + number).put("bind", text(bind))
                .put("advertise", text(advertised.get(number)));
        ArrayNode names = file.putArray("members");
        IntStream.range(0, advertised.size()).forEach(n -> names.add("n" + n));
        ArrayNode seeds = file.putArray("seeds");
        advertised.forEach(address -> seeds.add(text(address)));
        file.put("secret", SECRET);
        if (members.directory()) {
            file.put("directory", DIRECTORY);
        }
        file.put("shards", members.shards());
        if (!members.boundsUs().isEmpty()) {
            ObjectNode bounds = file.putObject("bounds");
            members.boundsUs().forEach((topic, us) -> bounds.put(topic, us / MS + "ms"));
        }
        Path key = folder.resolve(SECRET);
        Files.writeString(key, secret);
        Files.setPosixFilePermissions(key, PosixFilePermissions.fromString("rw-------"));
        Path path = folder.resolve(FILE);
        new TomlMapper().writeValue(path.toFile(), file);
        return path;
    }

    /** Leaves nothing of the copy that former lives held; returns whether the next life has nothing of it. */
    public boolean settle(boolean keep) throws IOException {
        if (!keep) {
            ProxyProcess.remove(folder.resolve(DIRECTORY));
        }
        return !keep || !members.directory();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
