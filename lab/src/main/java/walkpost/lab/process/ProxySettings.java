package walkpost.lab.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Map;
import walkpost.lab.scenario.Scenario;

/** Writes what a proxy is told at its start, in the form of DEPLOY and with the names of WIRE. */
public final class ProxySettings {
    private static final Map<Scenario.Effect, String> EFFECTS = Map.of(Scenario.Effect.SAFE, "idempotent",
            Scenario.Effect.KEYED, "deduplicated", Scenario.Effect.UNSAFE, "at_most_once");

    private ProxySettings() { }

    /** Returns the configuration of a proxy; {@code known} is the list as it last had it. */
    public static ObjectNode of(Scenario scenario, int proxy, InetSocketAddress listen, InetSocketAddress discovery, ObjectNode known,
            long seed) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("name", "n" + proxy).put("listen", text(listen)).put("discovery", text(discovery))
                .put("seed", String.format("%016x", seed));
        Scenario.Fleet fleet = scenario.fleet();
        json.putObject("limits").put("cores", fleet.cores()).put("memory_mb", fleet.memory() >> 20).put("sockets", fleet.sockets());
        json.set("known", known);
        ObjectNode settings = json.putObject("settings");
        settings.put("balancers", fleet.proxies()).put("rank", proxy)
                .put("locality", fleet.zones().get(proxy % fleet.zones().size())).put("quantum_us", 2_000)
                .put("registry_mode", scenario.discovery().pushed() ? "pushed" : "on_request")
                .put("over_share_worth", 0.05).put("worth_by", "work");
        Scenario.Bounds bounds = scenario.bounds();
        settings.putObject("bounds").put("cancel", bounds.cancel()).put("may_duplicate", bounds.duplicates())
                .put("probes", bounds.probes()).put("most_tries", bounds.tries()).put("max_retry_after_us", bounds.retryAfterUs())
                .put("retry_after", true).put("connect_timeout_us", bounds.connectUs())
                .put("conn_idle_us", scenario.kinds().stream().mapToLong(Scenario.Kind::idleUs).min().orElseThrow());
        Scenario.Rules rules = scenario.rules();
        settings.putObject("invariants").put("cold_from", rules.coldFrom()).put("cold_us", rules.coldUs())
                .put("fall_multiple", rules.fallMultiple()).put("fall_us", rules.fallUs()).put("must_ask_in_us", rules.askUs())
                .put("drain_grace_us", rules.drainUs());
        ArrayNode classes = settings.putArray("profiles");
        for (Scenario.RequestClass c : scenario.classes()) {
            ObjectNode profile = classes.addObject().put("name", c.name()).put("aim_us", c.aimUs()).put("deadline_us", c.deadlineUs())
                    .put("effect", EFFECTS.get(c.effect())).put("value", c.worth()).put("late_worth", 0);
            if (c.effect() == Scenario.Effect.KEYED) {
                profile.put("key_scope", "all").put("window_us", c.windowUs());
            }
        }
        ArrayNode tenants = settings.putArray("projects");
        for (Scenario.Tenant tenant : scenario.tenants()) {
            tenants.addObject().put("name", tenant.name()).put("allowance_per_s", tenant.allowance());
        }
        settings.put("family", "proxy");
        return json;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
