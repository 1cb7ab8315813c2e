package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Voters and observers as processes, one of which is killed. Each wait ends with an event; its bound only ends a failed test. */
final class ProcessesTest {
    private static final int FAILED_S = 120;
    private static final List<String> VOTERS = List.of("v1", "v2", "v3");
    private static final List<String> OBSERVERS = List.of("o1", "o2", "o3", "o4", "o5", "o6");
    private static final Predicate<String> ORDERED = line -> line.equals("acknowledged a") || line.startsWith("refused a ");
    private static final String OUT = "{\"out\":true}";

    @TempDir
    private Path folder;
    private final Map<String, Child> open = new LinkedHashMap<>();

    /** A process, all that it has said, and who waits for something to be among it. */
    private static final class Child {
        private record Waiting(Predicate<String> of, CompletableFuture<String> done) { }

        private final Process process;
        private final List<String> lines = new ArrayList<>();
        private final List<Waiting> waiting = new ArrayList<>();
        private boolean ended;

        private Child(Process process) {
            this.process = process;
            var reader = new Thread(this::read, "reader");
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try (var out = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = out.readLine(); line != null; line = out.readLine()) {
                    said(line);
                }
            } catch (IOException e) {
                // It was killed.
            }
            over();
        }

        /** Nobody is to wait for a process that has ended. */
        private synchronized void over() {
            waiting.forEach(one -> one.done.completeExceptionally(new IllegalStateException("it has ended, having said " + lines)));
            ended = true;
        }

        private synchronized void said(String line) {
            lines.add(line);
            waiting.stream().filter(one -> one.of.test(line)).forEach(one -> one.done.complete(line));
        }

        private String await(Predicate<String> what) throws Exception {
            var one = new Waiting(what, new CompletableFuture<>());
            synchronized (this) {
                lines.stream().filter(what).findFirst().ifPresent(one.done::complete);
                if (ended) {
                    one.done.completeExceptionally(new IllegalStateException("it has ended, having said " + lines));
                }
                waiting.add(one);
            }
            try {
                return one.done.get(FAILED_S, TimeUnit.SECONDS);
            } catch (TimeoutException e) {
                throw new AssertionError(state(), e);
            }
        }

        /** Returns what may tell why something has not come. */
        private String state() throws Exception {
            CompletableFuture<String> state = next(line -> line.startsWith("state "));
            say("state");
            return state.get(FAILED_S, TimeUnit.SECONDS) + ", having said " + said(line -> true);
        }

        private synchronized List<String> said(Predicate<String> what) {
            return lines.stream().filter(what).toList();
        }

        /** Returns the next such line of those that it has yet to say. */
        private synchronized CompletableFuture<String> next(Predicate<String> what) {
            var one = new Waiting(what, new CompletableFuture<>());
            waiting.add(one);
            if (ended) {
                one.done.completeExceptionally(new IllegalStateException("it has ended, having said " + lines));
            }
            return one.done;
        }

        /** Says something and returns the answer, that comes after it. */
        private String ask(String line, Predicate<String> answer) throws Exception {
            CompletableFuture<String> next = next(answer);
            say(line);
            return next.get(FAILED_S, TimeUnit.SECONDS);
        }

        private void say(String line) throws IOException {
            OutputStream in = process.getOutputStream();
            in.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            in.flush();
        }
    }

    @AfterEach
    void end() throws Exception {
        for (Child child : open.values()) {
            child.process.getOutputStream().close();
        }
        for (Child child : open.values()) {
            if (!child.process.waitFor(FAILED_S, TimeUnit.SECONDS)) {
                child.process.destroyForcibly().waitFor();
            }
        }
    }

    private void start(String name) throws Exception {
        List<String> seeds = new ArrayList<>();
        for (Child child : open.values()) {
            if (seeds.size() < VOTERS.size()) {
                seeds.add(child.await(line -> line.startsWith("address ")).split(" ")[1]);
            }
        }
        Path file = Files.writeString(folder.resolve(name + ".toml"), """
                format = 1
                cluster = "gent"
                name = "%s"
                bind = "%s:0"
                voters = ["v1", "v2", "v3"]
                region = "%s"
                seeds = [%s]
                secret = "fleet.key"
                %s
                """.formatted(name, Loopback.ANY.host(), name.endsWith("1") ? "north" : "south",
                seeds.stream().map(seed -> '"' + seed + '"').collect(Collectors.joining(", ")),
                VOTERS.contains(name) ? "directory = \"" + name + "\"" : ""));
        open.put(name, new Child(new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"), MemberMain.class.getName(),
                file.toString()).redirectErrorStream(true).start()));
    }

    private void startAll() throws Exception {
        // Once, before any of them reads it.
        Files.write(folder.resolve("fleet.key"), new byte[16]);
        for (String name : VOTERS) {
            start(name);
        }
        for (String name : OBSERVERS) {
            start(name);
        }
        for (Map.Entry<String, Child> each : open.entrySet()) {
            try {
                each.getValue().await("level true"::equals);
            } catch (AssertionError | ExecutionException e) {
                throw new AssertionError(each.getKey() + " is not level; v1: " + open.get("v1").state(), e);
            }
        }
    }

    private void kill(String name) throws Exception {
        Child child = open.remove(name);
        assertThat(child.process.destroyForcibly().waitFor(FAILED_S, TimeUnit.SECONDS)).isTrue();
    }

    /** All that are left act on the order, and have never acted on anything else. */
    private void allActOnIt() throws Exception {
        for (Map.Entry<String, Child> each : open.entrySet()) {
            each.getValue().await(("stands s0 a " + OUT + " rivals 0")::equals);
            assertThat(each.getValue().said(line -> line.startsWith("stands "))).as(each.getKey())
                    .containsOnly("stands s0 a " + OUT + " rivals 0");
        }
    }

    @Test
    void aVoterKilledBetweenAnOrderAndItsPushKeepsNobodyFromIt() throws Exception {
        startAll();
        Child ends = open.get("v2");
        ends.ask("full", "full"::equals);
        CompletableFuture<String> refuses = ends.next("level false"::equals);
        assertThat(open.get("v1").ask("order s0 a - " + OUT, ORDERED)).isEqualTo("acknowledged a");
        // It has the order and, as that can't be put on its disk, has pushed it to nobody.
        refuses.get(FAILED_S, TimeUnit.SECONDS);
        kill("v2");
        allActOnIt();
        // Those whose first voter that was come to be counted by the two that are left.
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FAILED_S);
        String held;
        do {
            held = open.get("o1").ask("held s0 a", line -> line.startsWith("held "));
        } while (!held.equals("held 8 of 8 silent [v2]") && System.nanoTime() < until);
        assertThat(held).isEqualTo("held 8 of 8 silent [v2]");
    }

    @Test
    void aVoterKilledWhileItHasAnObserversOrderMakesItNeitherTwoNorNone() throws Exception {
        startAll();
        open.get("o1").say("order s0 a - " + OUT);
        kill("v1");
        open.get("o1").await(ORDERED);
        // Whatever was made of it: the same again stands once.
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(FAILED_S);
        String answer;
        do {
            answer = open.get("o1").ask("order s0 a - " + OUT, ORDERED);
        } while (!answer.equals("acknowledged a") && System.nanoTime() < until);
        assertThat(answer).isEqualTo("acknowledged a");
        allActOnIt();
    }
}
