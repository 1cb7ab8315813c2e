package walkpost.fleet.shell;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import walkpost.fleet.FleetException.BadFile;
import walkpost.fleet.member.Address;

/**
 * What a member is told at its start, as {@code docs/fleet.md} has it. A file is taken whole or refused.
 *
 * @param cluster messages of another one are dropped
 * @param name this member's, one of {@code members} where there are some
 * @param bind where it listens, UDP and TCP alike; port 0 for any that is free
 * @param advertise what the others are told; null for where it listens
 * @param members the configured members, a majority of which acknowledges orders; no name twice; empty where there are {@code voters}
 * @param voters the few whose majority acknowledges orders, whoever else is a member; empty where there are {@code members}
 * @param region where this member runs; empty where the file names none
 * @param seeds whom to ask first
 * @param directory where orders are kept; null where they are in memory only
 * @param shards shares of the keys; the same at all members
 * @param bounds staleness of entries by topic, in microseconds
 */
public record FleetFile(String cluster, String name, Address bind, Address advertise, List<String> members, List<String> voters,
        String region, List<Address> seeds, Secret secret, Path directory, int shards, Map<String, Long> bounds) {
    /** Microseconds that an entry of any other topic is good for. */
    static final long OTHER_BOUND_US = 10_000_000;
    /** Names a member whose file doesn't. */
    static final String NAME_VARIABLE = "PROXY_NAME";
    private static final int FORMAT = 1;
    private static final int SHARDS = 8;
    private static final int MOST_SHARDS = 64;
    private static final int MOST_MEMBERS = 1_000;
    private static final int MOST_VOTERS = 9;
    private static final long MOST_BYTES = 1 << 20;
    private static final long LEAST_BOUND_US = 100_000;
    private static final long MOST_BOUND_US = 86_400_000_000L;

    /** Makes one of a fleet whose members all vote. */
    FleetFile(String cluster, String name, Address bind, Address advertise, List<String> members, List<Address> seeds, Secret secret,
            Path directory, int shards, Map<String, Long> bounds) {
        this(cluster, name, bind, advertise, members, List.of(), "", seeds, secret, directory, shards, bounds);
    }

    /**
     * Reads a file.
     *
     * @param environment names the member where the file doesn't
     * @throws BadFile if it, or the secret beside it, can't be read or makes no sense, with the line or field and what was expected
     */
    public static FleetFile read(Path file, Map<String, String> environment) throws BadFile {
        Fields fields = new Fields(file.toString(), "", tree(file));
        fields.only("format", "cluster", "name", "bind", "advertise", "members", "voters", "region", "seeds", "secret", "directory",
                "shards", "bounds");
        fields.whole("format", FORMAT, FORMAT);
        String cluster = fields.name("cluster");
        String name = name(fields, environment);
        Address bind = fields.address("bind", 0);
        Address advertise = fields.has("advertise") ? fields.address("advertise", 1) : null;
        if (advertise == null && bind.host().equals("0.0.0.0")) {
            throw fields.wrong("advertise", "an address that the others can reach, as 'bind' names none");
        }
        List<String> voters = voters(file, fields);
        List<String> members = voters.isEmpty() ? members(file, fields, name) : List.of();
        if (fields.has("region") && voters.isEmpty()) {
            throw fields.wrong("region", "none, as it has a meaning only with 'voters'");
        }
        if (fields.has("directory") && !voters.isEmpty() && !voters.contains(name)) {
            throw fields.wrong("directory", "none, as '" + name + "' is not among 'voters': an observer keeps nothing on disk");
        }
        return new FleetFile(cluster, name, bind, advertise, members, voters, fields.has("region") ? fields.name("region") : "",
                fields.addresses("seeds"), secret(file, fields),
                fields.has("directory") ? beside(file, fields, "directory") : null,
                fields.has("shards") ? fields.whole("shards", 1, MOST_SHARDS) : SHARDS,
                fields.durations("bounds", LEAST_BOUND_US, MOST_BOUND_US));
    }

    private static List<String> members(Path file, Fields fields, String name) throws BadFile {
        List<String> members = fields.names("members");
        if (members.size() > MOST_MEMBERS) {
            throw new BadFile(file.toString(), "members", "found " + members.size() + ", expected at most " + MOST_MEMBERS);
        }
        if (!members.contains(name)) {
            throw fields.wrong("members", "'" + name + "', this member's name, among them");
        }
        return members;
    }

    /** Reads the voters; none where the file names members instead. */
    private static List<String> voters(Path file, Fields fields) throws BadFile {
        if (!fields.has("voters")) {
            return List.of();
        }
        if (fields.has("members")) {
            throw fields.wrong("members", "none, as 'voters' says whose majority acknowledges orders");
        }
        List<String> voters = fields.names("voters");
        if (voters.size() > MOST_VOTERS) {
            throw new BadFile(file.toString(), "voters", "found " + voters.size() + ", expected at most " + MOST_VOTERS);
        }
        return voters;
    }

    /** Returns whose majority acknowledges orders. */
    public List<String> configured() {
        return voters.isEmpty() ? members : voters;
    }

    /** Returns whether this member has no vote: it keeps a copy by way of the voters. */
    public boolean observer() {
        return !voters.isEmpty() && !voters.contains(name);
    }

    /**
     * Returns the same file for another member that keeps nothing on disk, so that one process can hold many.
     *
     * @param at where it listens, and is reached
     */
    public FleetFile of(String member, Address at) {
        return new FleetFile(cluster, member, at, null, members, voters, region, seeds, secret, null, shards, bounds);
    }

    /** Returns how old a topic's entries may be and still be acted on, in microseconds. */
    public long boundUs(String topic) {
        return bounds.getOrDefault(topic, OTHER_BOUND_US);
    }

    private static JsonNode tree(Path file) throws BadFile {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new BadFile(file.toString(), "size", "expected no more than " + MOST_BYTES + " bytes");
            }
            return new TomlMapper().readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new BadFile(file.toString(), "line " + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()),
                    e.getOriginalMessage() + ", expected TOML");
        } catch (IOException e) {
            throw new BadFile(file.toString(), "file", "cannot be read: " + e);
        }
    }

    private static String name(Fields fields, Map<String, String> environment) throws BadFile {
        String told = environment.get(NAME_VARIABLE);
        if (fields.has("name") || told == null) {
            return fields.name("name");
        }
        if (!Fields.isName(told)) {
            throw fields.wrong("name", "a name here or in " + NAME_VARIABLE + ", which has '" + told + "'");
        }
        return told;
    }

    private static Path beside(Path file, Fields fields, String field) throws BadFile {
        try {
            return file.toAbsolutePath().resolveSibling(fields.fileName(field));
        } catch (InvalidPathException e) {
            throw fields.wrong(field, "the name of a file");
        }
    }

    private static Secret secret(Path file, Fields fields) throws BadFile {
        Path at = beside(file, fields, "secret");
        try {
            long size = Files.size(at);
            if (size < Secret.LEAST || size > Secret.MOST) {
                throw fields.wrong("secret", "a file of " + Secret.LEAST + " to " + Secret.MOST + " bytes, not of " + size);
            }
            return new Secret(Files.readAllBytes(at));
        } catch (IOException | IllegalArgumentException e) {
            throw fields.wrong("secret", "a file beside this one that can be read: " + e);
        }
    }
}
