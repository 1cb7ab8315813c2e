package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Retuned;
import walkpost.Balancer.Send;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A configuration that takes another's place while the proxy runs. */
class RetuneTest {
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

    private void reconfigure(Fixture proxy, String text) throws Exception {
        proxy.reconfigure(Files.writeString(dir.resolve("config.json"), text));
    }

    private static int status(Fixture proxy, String request) throws Exception {
        try (var client = proxy.client()) {
            return client.send(request).read().status();
        }
    }

    @Test
    void addsDropsAndChangesClasses() throws Exception {
        try (var backend = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), backend)) {
            backend.always(Peer.ok("made"));
            String added = Fixture.get("r1").replace("read", "browse");
            assertThat(status(proxy, added)).isEqualTo(400);
            ObjectNode config = Fixture.config();
            classes(config).removeAll();
            classes(config).add(Config.JSON.readTree(READ.replace("read", "browse")));
            classes(config).add(Config.JSON.readTree(READ.replace("read", "pay")));
            reconfigure(proxy, config.toString());
            assertThat(proxy.next(Retuned.class).settings().classes()).extracting("name").containsExactly("browse", "pay");
            assertThat(status(proxy, added)).isEqualTo(200);
            assertThat(status(proxy, Fixture.get("r2"))).isEqualTo(400);
            assertThat(status(proxy, Fixture.post("r3", "x"))).isEqualTo(405);
            assertThat(status(proxy, Fixture.get("r4").replace("read", "pay"))).isEqualTo(200);
        }
    }

    /** A request that has arrived, or is on its way, keeps what it came with: here its class, and its second attempt. */
    @Test
    void openRequestsKeepTheirRules() throws Exception {
        try (var backend = new Peer(); var proxy = new Fixture((event, actions) -> {
            if (event instanceof Arrival a) {
                actions.accept(new Send(a.id(), "s0", 0));
            } else if (event instanceof AttemptEnded e && e.outcome() == Outcome.ERROR) {
                actions.accept(new Send(e.id(), "s0", 0));
            }
        }, backend); var open = proxy.client(); var late = proxy.client(); var after = proxy.client()) {
            open.send(Fixture.get("r1"));
            Wire attempt = backend.accept();
            attempt.read();
            // It has been read so far: the proxy invites the rest.
            late.send(Fixture.post("r2", "body").replace("Content-Length", "Expect: 100-continue\r\nContent-Length").replace("body", ""));
            assertThat(late.readHead().first()).isEqualTo("HTTP/1.1 100 Continue");
            ObjectNode config = Fixture.config();
            classes(config).removeAll();
            classes(config).add(Config.JSON.readTree(READ));
            object(config, "bounds").put("most_tries", 1);
            reconfigure(proxy, config.toString());
            proxy.next(Retuned.class);
            attempt.send(Peer.answer("500 Error", "x"));
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r1");
            attempt.send(Peer.ok("one"));
            assertThat(open.read().body()).isEqualTo("one");
            late.send("body");
            assertThat(attempt.read().header("X-Request-ID")).isEqualTo("r2");
            attempt.send(Peer.ok("two"));
            assertThat(late.read().body()).isEqualTo("two");
            // One that comes now has the one attempt that there is for it.
            after.send(Fixture.get("r3"));
            attempt.read();
            attempt.send(Peer.answer("500 Error", "x"));
            AttemptEnded end = proxy.next(AttemptEnded.class);
            while (!end.id().equals("r3") || end.attempt() == 0) {
                end = proxy.next(AttemptEnded.class);
            }
            assertThat(end.outcome()).isEqualTo(Outcome.NOT_SENT);
        }
    }

    /** Whatever is wrong, nothing of it is taken over: neither the classes that are there nor discovery's new place. */
    @Test
    void aFileThatIsNoGoodChangesNothing() throws Exception {
        var bad = new LinkedHashMap<String, String>();
        ObjectNode good = Fixture.config().put("discovery", "127.0.0.1:2");
        classes(good).add(Config.JSON.readTree(READ.replace("read", "browse")));
        String text = good.toString();
        bad.put("empty", "");
        bad.put("blank", " \n");
        bad.put("cut off", text.substring(0, text.length() - 2));
        bad.put("cut off early", text.substring(0, 40));
        bad.put("with more behind", text + "}");
        bad.put("no object", "[]");
        for (String deadline : new String[] {"0", "-5", "\"soon\"", "null", "1.5"}) {
            bad.put("deadline " + deadline, text.replaceFirst("\"deadline_us\":2000000", "\"deadline_us\":" + deadline));
        }
        for (String tries : new String[] {"0", "-1", "\"\"", "null"}) {
            bad.put("attempts " + tries, text.replaceFirst("\"most_tries\":4", "\"most_tries\":" + tries));
        }
        bad.put("two of a name", text.replace("\"browse\"", "\"read\""));
        for (String key : new ArrayList<>(Fixture.config().properties().stream().map(Map.Entry::getKey).toList())) {
            if (!key.equals("known")) {
                bad.put("short of " + key, good.deepCopy().without(key).toString());
            }
        }
        for (String object : new String[] {"bounds", "invariants"}) {
            object(good, object).properties().forEach(e -> {
                ObjectNode without = good.deepCopy();
                object(without, object).remove(e.getKey());
                bad.put("short of " + e.getKey(), without.toString());
            });
        }
        good.path("settings").properties().forEach(e -> {
            ObjectNode without = good.deepCopy();
            ((ObjectNode) without.path("settings")).remove(e.getKey());
            bad.put("short of " + e.getKey(), without.toString());
        });
        classes(good).path(0).properties().forEach(e -> {
            ObjectNode without = good.deepCopy();
            ((ObjectNode) classes(without).path(0)).remove(e.getKey());
            bad.put("a class short of " + e.getKey(), without.toString());
        });
        try (var backend = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), backend)) {
            backend.always(Peer.ok("made"));
            for (var file : bad.entrySet()) {
                reconfigure(proxy, file.getValue());
                assertThat(status(proxy, Fixture.get("r1"))).as(file.getKey()).isEqualTo(200);
                assertThat(proxy.events).as(file.getKey()).noneMatch(Retuned.class::isInstance);
            }
            reconfigure(proxy, text);
            assertThat(proxy.next(Retuned.class).settings().classes()).hasSize(4);
        }
    }
}
