package walkpost.lab.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import walkpost.lab.scenario.Scenario.Act;

/** Reads what a scenario says of proxies that are members of each other: the fleet's table, calls, and faults between them. */
final class MembersReader {
    private static final long SECOND = 1_000_000;
    private static final int MOST_SHARDS = 1_024;
    private static final int MOST_VOTERS = 9;
    /** A play's processes, whatever they are. */
    private static final int MOST_PROCESSES = 100;
    private static final int MOST_HOLLOW = 1_000;
    private static final long MOST_HEAP = 2L << 30;
    private static final long HEAP = 192L << 20;
    private static final String EACH = "each";
    /** How a call names a server by its number. */
    private static final Pattern SERVER = Pattern.compile("(?<!\\S)s-(\\d{1,4})(?!\\S)");

    private MembersReader() { }

    /** Reads the part of the fleet's table, and the calls; null where proxies are no members. */
    static Members members(Table whole, Table fleet, int proxies, int servers, long length) throws BadScenario {
        if (!fleet.flag("members", false)) {
            if (whole.has("calls")) {
                throw whole.wrong("calls", "'members = true' under [fleet]: others have nobody to call");
            }
            if (fleet.has("voters")) {
                throw fleet.wrong("voters", "'members = true' beside it: others have nothing to vote on");
            }
            return null;
        }
        Table bounds = fleet.table("bounds");
        Map<String, Long> boundsUs = new HashMap<>();
        for (String topic : bounds.names()) {
            boundsUs.put(topic, bounds.duration(topic));
        }
        var calls = new ArrayList<Members.Call>();
        for (Table call : whole.tables("calls")) {
            calls.add(call(call, proxies, servers, length));
        }
        int voters = fleet.has("voters") ? fleet.whole("voters", 1, MOST_VOTERS) : 0;
        return new Members(fleet.flag("directory", true), fleet.whole("shards", 1, MOST_SHARDS, 8), boundsUs,
                fleet.duration("converge", 10 * SECOND), fleet.duration("notice", 10 * SECOND), fleet.duration("in_force", 0),
                fleet.duration("poll", SECOND / 2), voters, hollow(fleet, proxies, voters), calls);
    }

    private static Members.Hollow hollow(Table fleet, int proxies, int voters) throws BadScenario {
        if (!fleet.has("hollow")) {
            return null;
        }
        if (voters == 0) {
            throw fleet.wrong("hollow", "'voters' beside it: hollow members have no vote");
        }
        Table t = fleet.table("hollow");
        int processes = t.whole("processes", 1, MOST_PROCESSES - proxies - voters);
        int members = t.whole("members", processes, Math.min(MOST_HOLLOW, Integer.MAX_VALUE / processes) * processes);
        long heap = t.size("heap", HEAP);
        if (heap > MOST_HEAP) {
            throw t.wrong("heap", "2GiB at the most");
        }
        t.done();
        return new Members.Hollow(members, processes, heap);
    }

    /** Reads which processes a fault hits: proxies, unless it names others in their place. */
    static Scenario.Whom whom(Table t, Act act, Scenario.Fleet fleet) throws BadScenario {
        Scenario.Whom whom = Scenario.Whom.PROXIES;
        for (Scenario.Whom beside : List.of(Scenario.Whom.VOTERS, Scenario.Whom.HOLLOW)) {
            String field = field(beside);
            if (t.has(field)) {
                if (act != Act.KILL && act != Act.TERM && act != Act.STOP) {
                    throw t.wrong(field, "it under \"kill\", \"term\" or \"stop\" only");
                }
                if (count(beside, fleet) == 0) {
                    throw t.wrong(field, "'" + field + "' under [fleet] as well");
                }
                if (whom != Scenario.Whom.PROXIES || t.has(field(Scenario.Whom.PROXIES))) {
                    throw t.wrong(field, "one of 'proxies', 'voters' and 'hollow'");
                }
                whom = beside;
            }
        }
        return whom;
    }

    /** Returns the name of the field that says whom of a kind a fault hits. */
    static String field(Scenario.Whom whom) {
        return whom.name().toLowerCase(Locale.ROOT);
    }

    /** Returns how many processes of a kind there are. */
    static int count(Scenario.Whom whom, Scenario.Fleet fleet) {
        Members members = fleet.members();
        return switch (whom) {
            case PROXIES -> fleet.proxies();
            case VOTERS -> members == null ? 0 : members.voters();
            case HOLLOW -> members == null || members.hollow() == null ? 0 : members.hollow().processes();
        };
    }

    private static Members.Call call(Table t, int proxies, int servers, long length) throws BadScenario {
        long at = t.duration("at");
        if (at > length) {
            throw t.wrong("at", "a time within the scenario's length");
        }
        List<Integer> whom;
        if (t.has("to")) {
            if (!t.text("to").equals(EACH)) {
                throw t.wrong("to", "\"" + EACH + "\", or 'proxy' or 'proxies' in its place");
            }
            whom = List.of();
        } else if (t.has("proxies")) {
            whom = t.wholes("proxies", 0, proxies - 1);
            if (whom.isEmpty()) {
                throw t.wrong("proxies", "a list of at least one");
            }
        } else {
            whom = List.of(t.whole("proxy", 0, proxies - 1));
        }
        String line = t.text("line");
        for (MatchResult named : SERVER.matcher(line).results().toList()) {
            if (Integer.parseInt(named.group(1)) >= servers) {
                throw t.wrong("line", "servers from s-0 to s-" + (servers - 1));
            }
        }
        var call = new Members.Call(at, whom, line, t.duration("again", 0));
        t.done();
        return call;
    }

    /** Returns a call's line with the ids of the servers that it names by number. */
    static String line(Members.Call call, List<Plan.Server> servers) {
        return SERVER.matcher(call.line()).replaceAll(m -> servers.get(Integer.parseInt(m.group(1))).id());
    }

    /** Reads whether proxies that come back find their directory. */
    static boolean keep(Table t, Scenario.Fleet fleet) throws BadScenario {
        return fleet.members() == null || t.flag("keep", true);
    }

    /** Reads whom a fault between members hits, as its act has it. */
    static Scenario.Target target(Table t, Act act, int proxies) throws BadScenario {
        if (act == Act.LINK) {
            return t.has("from") ? new Scenario.Target(0, some(t, "from", proxies)) : new Scenario.Target(1, List.of());
        }
        return t.isList("groups") ? new Scenario.Target(0, t.wholeLists("groups", 0, proxies - 1).stream().flatMap(List::stream).toList())
                : new Scenario.Target(1, List.of());
    }

    /** Reads what a fault does between members; null where it does nothing there. */
    static Between between(Table t, Act act, int proxies) throws BadScenario {
        if (act == Act.PART) {
            return parting(t, proxies);
        }
        if (act != Act.LINK) {
            return null;
        }
        return new Between(List.of(), 0, t.has("to") ? some(t, "to", proxies) : List.of(), t.flag("both", true), t.flag("silent", false),
                t.number("loss", 0, 1, 0), t.number("duplicates", 0, 1, 0), t.duration("latency", 0), t.duration("jitter", 0));
    }

    private static Between parting(Table t, int proxies) throws BadScenario {
        if (!t.isList("groups")) {
            if (proxies < 2) {
                throw t.wrong("groups", "two proxies or more");
            }
            return parted(List.of(), t.whole("groups", 2, proxies));
        }
        List<List<Integer>> groups = t.wholeLists("groups", 0, proxies - 1);
        var seen = new HashSet<Integer>();
        boolean distinct = groups.stream().flatMap(List::stream).allMatch(seen::add);
        if (groups.size() < 2 || !distinct || groups.stream().anyMatch(List::isEmpty)) {
            throw t.wrong("groups", "a number of groups, or two lists or more, no proxy in two of them");
        }
        return parted(groups, 0);
    }

    private static Between parted(List<List<Integer>> groups, int dealt) {
        return new Between(groups, dealt, List.of(), true, true, 0, 0, 0, 0);
    }

    private static List<Integer> some(Table t, String field, int proxies) throws BadScenario {
        List<Integer> listed = t.wholes(field, 0, proxies - 1);
        if (listed.isEmpty()) {
            throw t.wrong(field, "a list of at least one proxy");
        }
        return listed;
    }

    /** Refuses a scenario that leaves no time to settle after its last fault or call: nothing would be judged. */
    static void leavesTime(Table t, Scenario scenario) throws BadScenario {
        Members members = scenario.fleet().members();
        if (members == null) {
            return;
        }
        long last = scenario.faults().stream().filter(f -> f.act().hitsProxies()).mapToLong(f -> Math.max(0, f.when().atUs())
                + f.lengthUs() + Math.max(0, f.backUs()) + f.stepUs() * scenario.count(f.whom())).max().orElse(0);
        last = Math.max(last, members.calls().stream().mapToLong(Members.Call::atUs).max().orElse(0));
        if (last + members.settleUs() > scenario.lengthUs()) {
            throw t.wrong("length", last / SECOND + " s, when the last fault and call are over, and at least " + members.settleUs() / SECOND
                    + " s more ('converge', 'notice', 'in_force')");
        }
    }
}
