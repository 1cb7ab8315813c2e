package walkpost.lab.scenario;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import walkpost.lab.scenario.Scenario.Act;

/**
 * Reads scenarios. A file is taken whole or refused, with the field, what stands there and what was expected. What a
 * file leaves out is as at the operators' room (BRIEF).
 */
public final class ScenarioReader {
    private static final int MOST_PROXIES = 100;
    private static final int MOST_SERVERS = 1_000;
    private static final long SECOND = 1_000_000;
    private static final String BASE = "base";

    private ScenarioReader() { }

    /**
     * Reads a file.
     *
     * @throws BadScenario if it can't be read or can't be played
     */
    public static Scenario read(Path file) throws BadScenario {
        ObjectNode whole = tree(file);
        Path base = base(file, whole);
        if (base != null) {
            whole = merged(tree(base), whole);
        }
        return scenario(file, whole);
    }

    /**
     * Returns the file that another says it is based on, or null: tables are taken from it field by field where the other
     * has none, lists as a whole.
     *
     * @throws BadScenario if the file can't be read
     */
    public static Path base(Path file) throws BadScenario {
        return base(file, tree(file));
    }

    private static Path base(Path file, ObjectNode tree) throws BadScenario {
        JsonNode base = tree.remove(BASE);
        if (base == null) {
            return null;
        }
        if (!base.isTextual()) {
            throw new BadScenario(file + ": '" + BASE + "': found " + base + ", expected a file's name");
        }
        return file.resolveSibling(base.asText());
    }

    private static ObjectNode tree(Path file) throws BadScenario {
        try {
            return tree(Files.readString(file));
        } catch (IOException e) {
            throw new BadScenario(file + ": cannot be read: " + e);
        } catch (BadScenario e) {
            throw new BadScenario(file + ": " + e.getMessage());
        }
    }

    private static Scenario scenario(Path file, ObjectNode tree) throws BadScenario {
        try {
            return scenario(new Table("", tree));
        } catch (BadScenario e) {
            throw new BadScenario(file + ": " + e.getMessage());
        }
    }

    private static ObjectNode merged(ObjectNode base, ObjectNode over) {
        over.properties().forEach(e -> {
            JsonNode below = base.get(e.getKey());
            base.set(e.getKey(), below != null && below.isObject() && e.getValue().isObject()
                    ? merged((ObjectNode) below, (ObjectNode) e.getValue()) : e.getValue());
        });
        return base;
    }

    /**
     * Reads a scenario from its text.
     *
     * @throws BadScenario if it can't be played
     */
    public static Scenario parse(String toml) throws BadScenario {
        return scenario(new Table("", tree(toml)));
    }

    private static ObjectNode tree(String toml) throws BadScenario {
        try {
            return (ObjectNode) new TomlMapper().readTree(toml);
        } catch (JsonProcessingException e) {
            throw new BadScenario("line " + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()) + ": "
                    + e.getOriginalMessage() + ", expected TOML");
        }
    }

    private static Scenario scenario(Table t) throws BadScenario {
        long length = t.duration("length");
        if (length < SECOND) {
            throw t.wrong("length", "1s or more");
        }
        var kinds = new ArrayList<Scenario.Kind>();
        for (Table kind : t.tables("servers")) {
            kinds.add(kind(kind));
        }
        var classes = new ArrayList<Scenario.RequestClass>();
        for (Table c : t.tables("classes")) {
            classes.add(requestClass(c));
        }
        var tenants = new ArrayList<Scenario.Tenant>();
        for (Table tenant : t.tables("tenants")) {
            tenants.add(new Scenario.Tenant(tenant.text("name"), tenant.number("share", 0.001, 1_000),
                    tenant.number("allowance", 0, 1e6)));
            tenant.done();
        }
        if (kinds.isEmpty()) {
            throw t.wrong("servers", "at least one kind");
        }
        if (classes.isEmpty()) {
            throw t.wrong("classes", "at least one class");
        }
        distinct(t, "classes", classes.stream().map(Scenario.RequestClass::name).toList());
        distinct(t, "servers", kinds.stream().map(Scenario.Kind::name).toList());
        distinct(t, "tenants", tenants.stream().map(Scenario.Tenant::name).toList());
        int servers = kinds.stream().mapToInt(Scenario.Kind::count).sum();
        if (servers > MOST_SERVERS) {
            throw t.wrong("servers", "at most " + MOST_SERVERS + " of all kinds");
        }
        Scenario.Fleet fleet = fleet(t, t.table("fleet"), servers, length);
        var faults = new ArrayList<Scenario.Fault>();
        for (Table fault : t.tables("faults")) {
            faults.add(fault(fault, fleet, servers, length, classes));
        }
        Table peers = t.table("peers");
        Table expect = t.table("expect");
        var scenario = new Scenario(t.text("name"), t.text("about"), length, fleet, List.copyOf(kinds), List.copyOf(classes),
                List.copyOf(tenants), load(t.table("load")), clients(t.table("clients")), front(t.table("front")),
                discovery(t.table("discovery")), network(t.table("network")), bounds(t.table("bounds")),
                rules(t.table("rules")), List.copyOf(faults),
                new Scenario.Peers(peers.number("silent", 0, 100, 0), peers.number("improper", 0, 100, 0)),
                new Scenario.Expect(expect.number("g", -1, 1, -1), expect.number("served", 0, 1, 0),
                        expect.number("last_served", 0, 1, 0)));
        peers.done();
        expect.done();
        t.done();
        MembersReader.leavesTime(t, scenario);
        return scenario;
    }

    private static void distinct(Table t, String field, List<String> names) throws BadScenario {
        Set<String> seen = new HashSet<>();
        for (String name : names) {
            if (!seen.add(name)) {
                throw new BadScenario("'" + field + "': two are named '" + name + "', expected different names");
            }
        }
    }

    private static Scenario.Fleet fleet(Table whole, Table t, int servers, long length) throws BadScenario {
        int proxies = t.whole("proxies", 1, MOST_PROXIES);
        var fleet = new Scenario.Fleet(proxies, t.texts("zones", List.of("gent-cellar")),
                t.size("memory", 192L << 20), t.whole("sockets", 128, 65_536, 1_024), t.number("cores", 0.05, 8, 1),
                t.size("heap", 0), MembersReader.members(whole, t, proxies, servers, length));
        t.done();
        return fleet;
    }

    private static Scenario.Kind kind(Table t) throws BadScenario {
        var kind = new Scenario.Kind(t.text("kind"), t.whole("count", 1, MOST_SERVERS), t.whole("cores", 1, 64, 1),
                t.range("speed", 0.01, 100), t.whole("slots", 1, 10_000, 8), t.whole("room", 0, 10_000, 20),
                t.whole("connections", 1, 10_000, 75), t.duration("handshake", 4_800), t.duration("probe", 70),
                t.duration("idle", 60 * SECOND), t.number("cold_from", 0.01, 1, 0.25), t.duration("cold", 15 * SECOND),
                t.number("errors", 0, 1, 0.001), t.word("cancel", Scenario.Cancel.class, Scenario.Cancel.NONE));
        t.done();
        return kind;
    }

    private static Scenario.RequestClass requestClass(Table t) throws BadScenario {
        Scenario.Effect effect = t.word("effect", Scenario.Effect.class);
        boolean keyed = effect == Scenario.Effect.KEYED;
        var c = new Scenario.RequestClass(t.text("name"), t.number("share", 0.001, 1_000), t.durations("work"),
                t.durations("waits"), t.number("variation", 0, 5, 1), t.duration("aim"), t.duration("deadline"),
                t.number("worth", 0, 1e6), effect, keyed ? t.duration("window") : t.duration("window", 0),
                (int) Math.min(t.size("body", 600), 60 << 10));
        if (c.aimUs() <= 0 || c.deadlineUs() < c.aimUs()) {
            throw t.wrong("deadline", "no less than the aim, which is over 0");
        }
        t.done();
        return c;
    }

    private static Scenario.Load load(Table t) throws BadScenario {
        var load = new Scenario.Load(t.number("rate", 0.1, 100_000), t.number("burst", 1, 1_000, 1),
                t.number("swing", 0, 0.95, 0), t.duration("swing_period", 20 * SECOND), t.duration("ramp", 0));
        t.done();
        return load;
    }

    private static Scenario.Clients clients(Table t) throws BadScenario {
        Range patience = t.has("patience") ? t.range("patience", 0.05, 1) : new Range(0.7, 1);
        var clients = new Scenario.Clients(t.whole("retries", 0, 3, 1), patience, t.duration("backoff", 80_000),
                t.number("obey", 0, 1, 0.9), t.flag("mark", false), t.number("hint", -1, 5, 0.15));
        t.done();
        return clients;
    }

    private static Scenario.Front front(Table t) throws BadScenario {
        var front = new Scenario.Front(t.duration("poll", 100_000), t.duration("notice", 2 * SECOND));
        t.done();
        return front;
    }

    private static Scenario.Discovery discovery(Table t) throws BadScenario {
        var discovery = new Scenario.Discovery(t.duration("notice", 3 * SECOND), t.duration("add", 2 * SECOND),
                t.duration("call", 2_000), t.duration("entry", 100), t.duration("timeout", 2 * SECOND), t.flag("odd", false),
                t.flag("pushed", false));
        t.done();
        return discovery;
    }

    private static Scenario.Network network(Table t) throws BadScenario {
        var network = new Scenario.Network(t.duration("latency", 0), t.duration("jitter", 0), t.duration("client", 0));
        t.done();
        return network;
    }

    private static Scenario.Bounds bounds(Table t) throws BadScenario {
        var bounds = new Scenario.Bounds(t.flag("cancel", true), t.flag("duplicates", true), t.flag("probes", true),
                t.whole("tries", 1, 10, 4), t.duration("retry_after", 750_000), t.duration("connect", 100_000));
        t.done();
        return bounds;
    }

    private static Scenario.Rules rules(Table t) throws BadScenario {
        var rules = new Scenario.Rules(t.number("cold_from", 0.01, 1, 0.12), t.duration("cold", 22 * SECOND),
                t.number("fall_multiple", 0.5, 100, 3), t.duration("fall", SECOND), t.duration("ask", 10 * SECOND),
                t.duration("drain", 300_000));
        t.done();
        return rules;
    }

    private static Scenario.Fault fault(Table t, Scenario.Fleet fleet, int servers, long length, List<Scenario.RequestClass> classes)
            throws BadScenario {
        Act act = t.word("act", Act.class);
        int proxies = fleet.proxies();
        boolean between = act == Act.PART || act == Act.LINK;
        if (between && fleet.members() == null) {
            throw t.wrong("act", "'members = true' under [fleet]: there is nothing between others");
        }
        if (between && fleet.members().voters() > 0) {
            throw t.wrong("act", "no 'voters' under [fleet]: members reach voters without the lab between them");
        }
        Scenario.Whom whom = MembersReader.whom(t, act, fleet);
        boolean proxiesOnly = whom == Scenario.Whom.PROXIES;
        boolean onProxies = switch (act) {
            case KILL, TERM, STOP, HUP, ISOLATE -> true;
            default -> false;
        };
        boolean onServers = switch (act) {
            case SLOW, ERRORS, CUT, MUTE, RESET, DRAIN, RESTART, JOIN -> true;
            default -> false;
        };
        Scenario.Target target = between ? MembersReader.target(t, act, proxies) : onProxies ? target(t, MembersReader.field(whom),
                MembersReader.count(whom, fleet))
                : onServers ? target(t, "servers", servers) : new Scenario.Target(1, List.of());
        boolean lasts = !(act == Act.KILL || act == Act.TERM || act == Act.HUP || act == Act.JOIN);
        boolean shared = act == Act.ERRORS || act == Act.HEAVY;
        boolean sized = shared || act == Act.SLOW || act == Act.RESET;
        boolean timed = act == Act.HEAVY || act == Act.BURST;
        boolean returns = act == Act.KILL || act == Act.TERM || act == Act.DRAIN;
        var fault = new Scenario.Fault(act, when(t, proxies, length), target, lasts ? t.duration("length") : 0,
                returns ? t.duration("back", -1) : -1, onProxies || onServers ? t.duration("step", 0) : 0,
                sized ? t.number("size", shared ? 0 : 0.01, shared ? 1 : 1_000) : 0,
                timed ? t.number("times", 0.01, 1_000) : 1, act == Act.HEAVY ? t.text("class") : "",
                act == Act.ISOLATE ? t.words("from", Scenario.Party.class) : List.of(),
                onProxies && returns && proxiesOnly && t.flag("other", false),
                !(onProxies && returns && proxiesOnly) || MembersReader.keep(t, fleet),
                MembersReader.between(t, act, proxies), act == Act.DISCOVERY && t.flag("silent", false),
                whom);
        if (act == Act.HEAVY && classes.stream().noneMatch(c -> c.name().equals(fault.requestClass()))) {
            throw t.wrong("class", "one of " + classes.stream().map(Scenario.RequestClass::name).toList());
        }
        if (act == Act.BURST && fault.when().atUs() < 0) {
            throw t.wrong("when", "'at': arrivals are drawn ahead, so a burst can't wait for an event");
        }
        t.done();
        return fault;
    }

    private static Scenario.When when(Table t, int proxies, long length) throws BadScenario {
        if (!t.has("when")) {
            long at = t.duration("at");
            if (at > length) {
                throw t.wrong("at", "a time within the scenario's length");
            }
            return new Scenario.When(at, 0, 0);
        }
        if (t.has("at")) {
            throw t.wrong("at", "either 'at' or 'when', not both");
        }
        Table event = t.table("when");
        var when = new Scenario.When(-1, event.whole("proxy", 0, proxies - 1), event.whole("answered", 1, Integer.MAX_VALUE));
        event.done();
        return when;
    }

    private static Scenario.Target target(Table t, String field, int count) throws BadScenario {
        if (t.isList(field)) {
            List<Integer> listed = t.wholes(field, 0, count - 1);
            if (listed.isEmpty()) {
                throw t.wrong(field, "a share, or a list of at least one");
            }
            return new Scenario.Target(0, listed);
        }
        return new Scenario.Target(t.number(field, 0.001, 1), List.of());
    }
}
