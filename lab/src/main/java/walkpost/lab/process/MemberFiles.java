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
        ObjectNode file = begun(bind).put("name", "n" + number).put("advertise", text(advertised.get(number)));
        ArrayNode names = file.putArray("members");
        IntStream.range(0, advertised.size()).forEach(n -> names.add("n" + n));
        return written(file, advertised, members.directory(), secret);
    }

    /**
     * Writes file and secret where some processes vote and the rest keeps to those; returns where the file is.
     *
     * @param name null for one that says its members' names itself
     * @param bind its own address, at which the others reach it; port 0 for any
     * @param voters the names of those that vote
     * @param region where it runs
     * @param seeds where those that vote are
     * @throws IOException if they can't be written
     */
    public Path write(String name, InetSocketAddress bind, List<String> voters, String region, List<InetSocketAddress> seeds,
            String secret) throws IOException {
        ObjectNode file = begun(bind).put("region", region);
        if (name != null) {
            file.put("name", name);
        }
        ArrayNode names = file.putArray("voters");
        voters.forEach(names::add);
        return written(file, seeds, members.directory() && name != null && voters.contains(name), secret);
    }

    private static ObjectNode begun(InetSocketAddress bind) {
        return JsonNodeFactory.instance.objectNode().put("format", 1).put("cluster", "lab").put("bind", text(bind));
    }

    private Path written(ObjectNode file, List<InetSocketAddress> asked, boolean directory, String secret) throws IOException {
        ArrayNode seeds = file.putArray("seeds");
        asked.forEach(address -> seeds.add(text(address)));
        file.put("secret", SECRET);
        if (directory) {
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
        return !keep || !members.directory() || members.voters() > 0;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
