package walkpost.lab.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;

/** The configuration of the proxy in a soak, and the names in it. */
final class SoakSettings {
    /** The effects of the classes of requests. */
    enum Effect {
        SAFE("tile-view", "idempotent", 800, 200), KEYED("repro-order", "deduplicated", 1_500, 400),
        UNSAFE("payment", "at_most_once", 1_500, 400);

        private final String className;
        private final String settingsName;
        private final int deadlineMs;
        private final int aimMs;

        Effect(String className, String settingsName, int deadlineMs, int aimMs) {
            this.className = className;
            this.settingsName = settingsName;
            this.deadlineMs = deadlineMs;
            this.aimMs = aimMs;
        }

        String className() {
            return className;
        }

        int deadlineMs() {
            return deadlineMs;
        }
    }

    static final String TENANT = "flanders-sheets";
    /** The time for which the servers discard repeats of a keyed request. */
    static final int WINDOW_MS = 3_000;
    /** The longest deadline of all classes. */
    static final int LONGEST_DEADLINE_MS = 1_500;
    private static final long US_PER_MS = 1_000;

    private SoakSettings() { }

    /** Returns the configuration of a proxy, with all servers known and ready. */
    static ObjectNode configuration(SoakPlan plan, InetSocketAddress listen, InetSocketAddress operator, InetSocketAddress discovery,
            List<InetSocketAddress> servers) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("name", "n0").put("listen", text(listen)).put("operator", text(operator)).put("discovery", text(discovery))
                .put("seed", String.format("%016x", plan.seed()));
        json.putObject("limits").put("cores", 0.5).put("memory_mb", plan.memoryMb()).put("sockets", plan.sockets());
        json.set("known", serverList(servers));
        ObjectNode settings = json.putObject("settings");
        settings.put("balancers", 1).put("rank", 0).put("locality", "gent-cellar").put("quantum_us", 2_000)
                .put("registry_mode", "on_request").put("over_share_worth", 0.05).put("worth_by", "work").put("family", "proxy");
        settings.putObject("bounds").put("cancel", true).put("may_duplicate", true).put("probes", false).put("most_tries", 4)
                .put("max_retry_after_us", 750_000).put("retry_after", true).put("connect_timeout_us", 100_000)
                .put("conn_idle_us", 60_000_000);
        settings.putObject("invariants").put("cold_from", 0.12).put("cold_us", 22_000_000).put("fall_multiple", 3.0)
                .put("fall_us", 1_000_000).put("must_ask_in_us", 10_000_000).put("drain_grace_us", 300_000);
        ArrayNode classes = settings.putArray("profiles");
        for (Effect effect : Effect.values()) {
            ObjectNode profile = classes.addObject().put("name", effect.className).put("aim_us", effect.aimMs * US_PER_MS)
                    .put("deadline_us", effect.deadlineMs * US_PER_MS).put("effect", effect.settingsName).put("value", 1)
                    .put("late_worth", 0);
            if (effect == Effect.KEYED) {
                profile.put("key_scope", "all").put("window_us", WINDOW_MS * US_PER_MS);
            }
        }
        settings.putArray("projects").addObject().put("name", TENANT).put("allowance_per_s", 1_000);
        return json;
    }

    /** Returns the whole list of servers in discovery's form. */
    static ObjectNode serverList(List<InetSocketAddress> servers) {
        ObjectNode list = JsonNodeFactory.instance.objectNode().put("version", 41).put("full", true);
        ArrayNode entries = list.putArray("servers");
        for (int i = 0; i < servers.size(); i++) {
            entries.addObject().put("id", "s-" + i).put("addr", text(servers.get(i))).put("zone", "gent-cellar").put("kind", "full-box")
                    .put("cell", 0).put("state", "ready").put("weight", 1).put("started_ms", 0);
        }
        return list;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
