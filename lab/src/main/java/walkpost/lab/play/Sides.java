package walkpost.lab.play;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import walkpost.lab.net.Stage;
import walkpost.lab.process.MemberFiles;
import walkpost.lab.process.Program;
import walkpost.lab.process.SideProcess;
import walkpost.lab.scenario.Members;

/**
 * The processes of a play that stand beside the proxies: those that vote, and those that hold hollow members. Owns them. Used by the
 * play's thread.
 */
final class Sides {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** How long a process with hollow members stays at the most, beyond the play's length; then it ends by itself. */
    private static final long BEYOND_S = 900;
    /** A process with hollow members is started when the one before has caught up, or after so long. */
    private static final long APART_US = 20_000_000;

    private final Members members;
    private final List<String> regions;
    private final String secret;
    private final List<InetSocketAddress> seats = new ArrayList<>();
    private final List<SideProcess> voters = new ArrayList<>();
    private final List<SideProcess> hollow = new ArrayList<>();
    private final int[] level;
    private int begun;
    private long begunUs;

    /**
     * Writes what each process is told; none is started yet.
     *
     * @param proxies how many proxies there are: the cores of these come after theirs
     * @throws IOException if addresses can't be had or files not be written
     */
    Sides(Stage stage, Program program, int proxies, String secret, Path folder) throws IOException {
        members = stage.scenario().fleet().members();
        regions = stage.scenario().fleet().zones();
        this.secret = secret;
        for (int voter = 0; voter < members.voters(); voter++) {
            seats.add(MemberNet.free("127." + (220 + voter) + ".245.1"));
        }
        for (int voter = 0; voter < seats.size(); voter++) {
            String name = name(voter);
            Path file = write(voter, name, seats.get(voter), Files.createDirectories(folder.resolve(name)));
            voters.add(new SideProcess(stage, program.instead("member", file.toString()), name, proxies + voter, folder));
        }
        Members.Hollow of = members.hollow();
        level = new int[of == null ? 0 : of.processes()];
        long seconds = stage.scenario().lengthUs() / 1_000_000 + BEYOND_S;
        for (int process = 0; process < level.length; process++) {
            String name = "h" + process;
            var host = new InetSocketAddress("127." + (110 + process) + ".244.1", 0);
            Path file = write(process, null, host, Files.createDirectories(folder.resolve(name)));
            Program holds = program.withHeap(of.heap()).instead("hollow", "--members", Integer.toString(of.in(process)), "--name", name,
                    "--seconds", Long.toString(seconds), file.toString());
            hollow.add(new SideProcess(stage, holds, name, proxies + voters.size() + process, folder));
        }
    }

    private static String name(int voter) {
        return "v" + voter;
    }

    private Path write(int number, String name, InetSocketAddress bind, Path folder) throws IOException {
        return new MemberFiles(members, folder).write(name, bind, names(), region(number), seats, secret);
    }

    private List<String> names() {
        return IntStream.range(0, members.voters()).mapToObj(Sides::name).toList();
    }

    /** Returns the region of a process: processes are dealt out to the zones in turn, as proxies are. */
    private String region(int number) {
        return regions.get(number % regions.size());
    }

    /** Writes what a proxy is told, in the same fleet; returns where that stands. */
    Path write(int proxy, MemberFiles files, InetSocketAddress bind) throws IOException {
        return files.write("n" + proxy, bind, names(), region(proxy), seats, secret);
    }

    /** Starts those that vote. */
    void start() {
        voters.forEach(Sides::start);
    }

    /**
     * Starts the next process with hollow members, once the one before has caught up: a fleet grows by and by, and hundreds that begin at
     * once on one machine would wait for its processors rather than for each other.
     */
    void grow(long nowUs) {
        boolean first = begun == 0;
        if (begun < hollow.size() && (first || level[begun - 1] == members.hollow().in(begun - 1) || nowUs - begunUs > APART_US)) {
            begunUs = nowUs;
            start(hollow.get(begun++));
        }
    }

    /** Starts all that are not started yet. */
    void startRest() {
        while (begun < hollow.size()) {
            start(hollow.get(begun++));
        }
    }

    /** Starts one. */
    static void start(SideProcess process) {
        try {
            process.start();
        } catch (IOException e) {
            throw new UncheckedIOException(process.name() + " can't be started", e);
        }
    }

    List<SideProcess> voters() {
        return voters;
    }

    List<SideProcess> hollow() {
        return hollow;
    }

    /** Notes what all have said by now. */
    void listen() {
        voters.forEach(SideProcess::listen);
        for (int process = 0; process < level.length; process++) {
            for (String line : hollow.get(process).listen()) {
                level[process] = level(line, level[process]);
            }
        }
    }

    private static int level(String line, int before) {
        try {
            JsonNode said = JSON.readTree(line);
            return said.path("hollow").asText().equals("figures") ? said.path("level").asInt() : before;
        } catch (JsonProcessingException e) {
            return before; // The verdict has it.
        }
    }

    /** Returns how many hollow members have caught up, as far as was listened. */
    int level() {
        return IntStream.of(level).sum();
    }

    /** Returns how many hollow members there are to be. */
    int hollowMembers() {
        return members.hollow() == null ? 0 : members.hollow().members();
    }

    /** Returns whether every process that was started runs. */
    boolean alive() {
        return Stream.concat(voters.stream(), hollow.stream().limit(begun)).allMatch(SideProcess::alive);
    }

    /** Notes what all have used by now. */
    void noteUse() {
        voters.forEach(SideProcess::noteUse);
        hollow.forEach(SideProcess::noteUse);
    }

    /** Ends all processes; the ledger has all that they said. */
    void close() {
        listen();
        hollow.forEach(SideProcess::kill);
        voters.forEach(SideProcess::kill);
    }
}
