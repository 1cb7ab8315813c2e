package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;
import walkpost.Balancer;
import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Send;
import walkpost.Balancer.SettingsChanged;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how a running proxy reloads its configuration. */
class ReconfigurationTest {
    private static final String READ = "{\"name\":\"read\",\"aim_us\":600000,\"deadline_us\":2000000,"
            + "\"effect\":\"idempotent\",\"value\":1,\"late_worth\":0}";

    @TempDir
    private Path dir;

    private static ArrayNode classes(ObjectNode config) {
        return (ArrayNode) config.path("settings").path("profiles");
    }

    private static ObjectNode object(ObjectNode config, String name) {
        return (ObjectNode) config.path("settings").path(name);
    }

    private void reconfigure(ProxyFixture proxy, String text) throws Exception {
        proxy.reconfigure(Files.writeString(dir.resolve("config.json"), text));
    }

    private static int status(ProxyFixture proxy, String request) throws Exception {
        try (var client = proxy.client()) {
            return client.send(request).read().status();
        }
    }

    @Test
    void addsRemovesAndChangesClasses() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server)) {
            server.answerAll(FakeServer.okResponse("made"));
            String added = ProxyFixture.get("r1").replace("read", "browse");
            assertThat(status(proxy, added)).isEqualTo(400);
            ObjectNode config = ProxyFixture.config();
            classes(config).removeAll();
            classes(config).add(Config.JSON.readTree(READ.replace("read", "browse")));
            classes(config).add(Config.JSON.readTree(READ.replace("read", "pay")));
            reconfigure(proxy, config.toString());
            assertThat(proxy.nextEvent(Balancer.SettingsChanged.class).settings().classes()).extracting("name")
                    .containsExactly("browse", "pay");
            assertThat(status(proxy, added)).isEqualTo(200);
            assertThat(status(proxy, ProxyFixture.get("r2"))).isEqualTo(400);
            assertThat(status(proxy, ProxyFixture.post("r3", "x"))).isEqualTo(405);
            assertThat(status(proxy, ProxyFixture.get("r4").replace("read", "pay"))).isEqualTo(200);
        }
    }

    /** A request that was received, in whole or in part, before a reload keeps its old settings: here its class and its second attempt. */
    @Test
    void openRequestsKeepTheirSettings() throws Exception {
        try (var server = new FakeServer(); var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.outcome() == Outcome.ERROR) {
                actions.accept(new Send(e.id(), "s0", 0));
            }
        }, server); var open = proxy.client(); var partial = proxy.client(); var later = proxy.client()) {
            open.send(ProxyFixture.get("r1"));
            RawConnection attempt = server.accept();
            attempt.read();
            // The answer 100 shows that the proxy has read the head of the request.
            partial.send(ProxyFixture.post("r2", "body").replace("Content-Length", "Expect: 100-continue\r\nContent-Length")
                    .replace("body", ""));
            assertThat(partial.readHead().first()).isEqualTo("HTTP/1.1 100 Continue");
            ObjectNode config = ProxyFixture.config();
            classes(config).removeAll();
            classes(config).add(Config.JSON.readTree(READ));
            object(config, "bounds").put("most_tries", 1);
            reconfigure(proxy, config.toString());
            proxy.nextEvent(Balancer.SettingsChanged.class);
            attempt.send(FakeServer.response("500 Error", "x"));
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r1");
            attempt.send(FakeServer.okResponse("one"));
            assertThat(open.read().body()).isEqualTo("one");
            partial.send("body");
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r2");
            attempt.send(FakeServer.okResponse("two"));
            assertThat(partial.read().body()).isEqualTo("two");
            // A request that comes in after the reload is allowed one attempt only.
            later.send(ProxyFixture.get("r3"));
            attempt.read();
            attempt.send(FakeServer.response("500 Error", "x"));
            AttemptEnded end = proxy.nextEvent(AttemptEnded.class);
            while (!end.id().equals("r3") || end.attempt() == 0) {
                end = proxy.nextEvent(AttemptEnded.class);
            }
            assertThat(end.outcome()).isEqualTo(Outcome.NOT_SENT);
        }
    }

    /** Guards against a file that is applied in part: if anything in it is invalid, its classes and its discovery are ignored too. */
    @Test
    void anInvalidFileChangesNothing() throws Exception {
        var invalidFiles = new LinkedHashMap<String, String>();
        ObjectNode valid = ProxyFixture.config().put("discovery", "127.0.0.1:2");
        classes(valid).add(Config.JSON.readTree(READ.replace("read", "browse")));
        String text = valid.toString();
        invalidFiles.put("empty", "");
        invalidFiles.put("blank", " \n");
        invalidFiles.put("cut off", text.substring(0, text.length() - 2));
        invalidFiles.put("cut off early", text.substring(0, 40));
        invalidFiles.put("with text after the end", text + "}");
        invalidFiles.put("not an object", "[]");
        for (String deadline : new String[] {"0", "-5", "\"soon\"", "null", "1.5"}) {
            invalidFiles.put("deadline " + deadline, text.replaceFirst("\"deadline_us\":2000000", "\"deadline_us\":" + deadline));
        }
        for (String tries : new String[] {"0", "-1", "\"\"", "null"}) {
            invalidFiles.put("attempts " + tries, text.replaceFirst("\"most_tries\":4", "\"most_tries\":" + tries));
        }
        invalidFiles.put("two classes with one name", text.replace("\"browse\"", "\"read\""));
        for (String key : new ArrayList<>(ProxyFixture.config().properties().stream().map(Map.Entry::getKey).toList())) {
            if (!key.equals("known")) {
                invalidFiles.put("without " + key, valid.deepCopy().without(key).toString());
            }
        }
        for (String object : new String[] {"bounds", "invariants"}) {
            object(valid, object).properties().forEach(e -> {
                ObjectNode without = valid.deepCopy();
                object(without, object).remove(e.getKey());
                invalidFiles.put("without " + e.getKey(), without.toString());
            });
        }
        valid.path("settings").properties().forEach(e -> {
            ObjectNode without = valid.deepCopy();
            ((ObjectNode) without.path("settings")).remove(e.getKey());
            invalidFiles.put("without " + e.getKey(), without.toString());
        });
        classes(valid).path(0).properties().forEach(e -> {
            ObjectNode without = valid.deepCopy();
            ((ObjectNode) classes(without).path(0)).remove(e.getKey());
            invalidFiles.put("a class without " + e.getKey(), without.toString());
        });
        try (var server = new FakeServer(); var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"), server)) {
            server.answerAll(FakeServer.okResponse("made"));
            for (var file : invalidFiles.entrySet()) {
                reconfigure(proxy, file.getValue());
                assertThat(status(proxy, ProxyFixture.get("r1"))).as(file.getKey()).isEqualTo(200);
                assertThat(proxy.events).as(file.getKey()).noneMatch(Balancer.SettingsChanged.class::isInstance);
            }
            reconfigure(proxy, text);
            assertThat(proxy.nextEvent(Balancer.SettingsChanged.class).settings().classes()).hasSize(4);
        }
    }

    /** A busy event loop takes the signal over late, which does not postpone the deadline. */
    @Test
    void theDeadlineForTheListCountsFromTheSignal() throws Exception {
        var loopIsBusy = new CountDownLatch(1);
        var loopMayGoOn = new CountDownLatch(1);
        try (var proxy = new ProxyFixture((event, actions) -> {
            if (event instanceof Arrival) {
                loopIsBusy.countDown();
                await(loopMayGoOn);
            }
        }); var client = proxy.client()) {
            client.send(ProxyFixture.get("r1"));
            await(loopIsBusy);
            proxy.stopClock();
            long signalledAtUs = proxy.clockUs();
            reconfigure(proxy, ProxyFixture.config().toString());
            proxy.advanceClock(Duration.ofSeconds(1));
            loopMayGoOn.countDown();
            assertThat(proxy.nextEvent(Balancer.ListDeadline.class).atUs()).isEqualTo(signalledAtUs + 4_000_000);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void anInvalidFileSetsNoDeadlineForTheList() throws Exception {
        try (var proxy = new ProxyFixture(ProxyFixture.sendTo("s0"))) {
            reconfigure(proxy, "{\"name\":");
            proxy.stopClock();
            proxy.advanceClock(Duration.ofSeconds(1));
            long signalledAtUs = proxy.clockUs();
            reconfigure(proxy, ProxyFixture.config().toString());
            assertThat(proxy.nextEvent(Balancer.ListDeadline.class).atUs()).isEqualTo(signalledAtUs + 4_000_000);
        }
    }
}
