package walkpost.app;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Members that serve nothing, as processes: those that vote, and many hollow ones in one. */
@Timeout(240)
final class HollowTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int HOLLOW = 6;
    private static final int SIGTERM = 128 + 15;

    @TempDir
    private Path dir;
    private final List<Process> started = new ArrayList<>();

    @AfterEach
    void end() {
        started.forEach(Process::destroyForcibly);
    }

    private static int free() throws IOException {
        while (true) {
            InetAddress host = InetAddress.getByName("127.0.0.1");
            try (var stream = new ServerSocket(0, 1, host); var datagram = new DatagramSocket(stream.getLocalPort(), host)) {
                return datagram.getLocalPort();
            } catch (java.net.BindException e) {
                // Over UDP somebody else has it: the next one.
                continue;
            }
        }
    }

    private Path file(String name, String text) throws IOException {
        Files.writeString(dir.resolve("fleet.key"), "0123456789abcdef");
        return Files.writeString(dir.resolve(name), text);
    }

    private static String fleet(String more) {
        return "format = 1\ncluster = \"test\"\nsecret = \"fleet.key\"\n" + more;
    }

    /** Starts the program with a limit on its descriptors; what it says on standard error goes to a file. */
    private Process start(int descriptors, String... words) throws IOException {
        var command = new ArrayList<>(List.of("/bin/sh", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "walkpost",
                ProcessHandle.current().info().command().orElseThrow(), "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx96m", "-cp",
                System.getProperty("java.class.path"), Main.class.getName()));
        command.addAll(List.of(words));
        Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.appendTo(dir.resolve("errors").toFile()))
                .start();
        started.add(process);
        return process;
    }

    private static JsonNode next(BufferedReader lines, String field, String kind) throws IOException {
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            JsonNode said = JSON.readTree(line);
            if (said.path(field).asText().equals(kind)) {
                return said;
            }
        }
        throw new AssertionError("ended without saying " + kind);
    }

    @Test
    void hollowMembersCatchUpWithVotersAndEndByThemselves() throws Exception {
        List<Integer> ports = List.of(free(), free(), free());
        String seeds = "seeds = [" + String.join(", ", ports.stream().map(p -> "\"127.0.0.1:" + p + "\"").toList()) + "]\n"
                + "voters = [\"v0\", \"v1\", \"v2\"]\n";
        var voters = new ArrayList<Process>();
        for (int voter = 0; voter < 3; voter++) {
            Path file = file("v" + voter + ".toml", fleet(seeds + "name = \"v" + voter + "\"\nbind = \"127.0.0.1:" + ports.get(voter) + "\"\n"));
            voters.add(start(400, "member", file.toString()));
        }
        for (int voter = 0; voter < 3; voter++) {
            JsonNode ready = next(voters.get(voter).inputReader(), "member", "ready");
            assertThat(ready.path("name").asText()).isEqualTo("v" + voter);
            assertThat(ready.path("address").asText()).isEqualTo("127.0.0.1:" + ports.get(voter));
        }
        Path file = file("hollow.toml", fleet(seeds + "bind = \"127.0.0.1:0\"\n"));
        Process hollow = start(2_000, "hollow", "--members", Integer.toString(HOLLOW), "--name", "x", "--region", "gent", "--seconds", "25",
                file.toString());
        BufferedReader lines = hollow.inputReader();
        JsonNode ready = next(lines, "hollow", "ready");
        assertThat(ready.path("members").asInt()).isEqualTo(HOLLOW);
        assertThat(ready.path("descriptors_needed").asInt()).isBetween(HOLLOW * 100, 2_000);
        JsonNode figures = next(lines, "hollow", "figures");
        while (figures.path("level").asInt() < HOLLOW) {
            figures = next(lines, "hollow", "figures");
        }
        JsonNode done = next(lines, "hollow", "done");
        assertThat(done.path("level").asInt()).isEqualTo(HOLLOW);
        assertThat(done.path("seconds").asDouble()).isGreaterThan(20);
        assertThat(done.path("bytes_out_s").asDouble()).isPositive();
        assertThat(done.path("cpu_ms_s").asDouble()).isPositive();
        assertThat(hollow.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(hollow.exitValue()).isZero();
        for (Process voter : voters) {
            assertThat(voter.isAlive()).isTrue();
            voter.destroy();
        }
        for (Process voter : voters) {
            assertThat(voter.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(voter.exitValue()).isEqualTo(SIGTERM);
        }
        assertThat(started.stream().flatMap(Process::descendants)).isEmpty();
        // A process logs 20 lines a second: of six members that go at once, which tell that of each other, not each one's line is there.
        assertThat(Files.readString(dir.resolve("errors"))).containsPattern("fleet_closed member=x-[1-6]")
                .contains("fleet_closed member=v0").doesNotContain("ERROR");
    }

    @Test
    void oneThatMayNotHaveAsManyDescriptorsSaysSoBeforeItOpensAny() throws Exception {
        Path file = file("hollow.toml", fleet("seeds = [\"127.0.0.1:9\"]\nvoters = [\"v0\"]\nbind = \"127.0.0.1:0\"\n"));
        Process hollow = start(300, "hollow", "--members", "5", file.toString());
        assertThat(hollow.inputReader().readLine()).isNull();
        assertThat(hollow.waitFor()).isEqualTo(ExitStatus.USAGE);
        assertThat(Files.readString(dir.resolve("errors"))).contains("--members: 5 members may need ", "this process may have 300: raise "
                + "'ulimit -n'").doesNotContain("fleet_started");
    }

    @Test
    void aFileThatIsNotOneForHollowMembersIsRefused() throws Exception {
        String right = "seeds = [\"127.0.0.1:9\"]\nbind = \"127.0.0.1:0\"\n";
        assertThat(refused(right + "members = [\"hollow-1\"]\n")).contains("voters: missing, expected the names of those that vote");
        assertThat(refused(right + "voters = [\"v0\"]\nname = \"v1\"\n")).contains("name: found \"v1\", expected none");
        assertThat(refused(right + "voters = [\"hollow-2\"]\n")).contains("voters: found \"hollow-2\", expected another --name");
    }

    private String refused(String more) throws IOException {
        var err = new java.io.StringWriter();
        var out = new java.io.StringWriter();
        Path file = file("wrong.toml", fleet(more));
        assertThat(Main.run(new java.io.PrintWriter(out, true), new java.io.PrintWriter(err, true), "hollow", "--members", "2",
                file.toString())).isEqualTo(ExitStatus.USAGE);
        assertThat(out.toString()).isEmpty();
        return err.toString();
    }
}
