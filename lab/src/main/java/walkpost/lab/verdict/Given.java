package walkpost.lab.verdict;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One order as its callers know it: who was asked for it when, and what was answered; never what any copy holds. */
final class Given {
    /** The calls that give orders: {@code exclude|include SUBJECT fleet ORDER [REPLACES]}. */
    private static final Pattern CALL = Pattern.compile("(exclude|include)\\s+(\\S+)\\s+fleet\\s+(\\S+)(?:\\s+(\\S+))?\\s*");
    private static final Pattern VERSION = Pattern.compile("version=(\\d+)");
    /** How a door says that an order may come to stand all the same (docs/fleet.md, "Orders", step 4). */
    private static final Pattern UNCERTAIN = Pattern.compile("(?i)uncertain|is decided, but|send the same order again");

    final String id;
    final Key key;
    final boolean takesBack;
    private final List<String> replaces;
    private final List<DoorCall> calls = new ArrayList<>();

    /** What an order is about. */
    record Key(String topic, String subject) { }

    private Given(String id, Key key, boolean takesBack, List<String> replaces) {
        this.id = id;
        this.key = key;
        this.takesBack = takesBack;
        this.replaces = replaces;
    }

    /** Returns all orders that were given, by id. */
    static Map<String, Given> of(List<DoorCall> calls) {
        var all = new LinkedHashMap<String, Given>();
        for (DoorCall call : calls) {
            Matcher form = CALL.matcher(call.line());
            if (form.matches()) {
                String named = form.group(4);
                all.computeIfAbsent(form.group(3), id -> new Given(id, new Key("exclusion", form.group(2)),
                        form.group(1).equals("include"), named == null ? List.of() : List.of(named.split(",")))).calls.add(call);
            }
        }
        return all;
    }

    List<DoorCall> calls() {
        return calls;
    }

    boolean acknowledged() {
        return calls.stream().anyMatch(DoorCall::succeeded);
    }

    /** Returns when it was first acknowledged. */
    long acknowledgedUs() {
        return calls.stream().filter(DoorCall::succeeded).mapToLong(DoorCall::toUs).min().orElse(Long.MAX_VALUE);
    }

    /** Returns the version that its callers were told, or -1. */
    long version() {
        return calls.stream().filter(DoorCall::succeeded).map(c -> VERSION.matcher(c.answer())).filter(Matcher::find)
                .mapToLong(m -> Long.parseLong(m.group(1))).findFirst().orElse(-1);
    }

    /** Returns whether every call for it was told for certain that it does not and will not stand. */
    boolean refused() {
        return calls.stream().allMatch(Given::refused);
    }

    /** Returns whether a call was told for certain that it has changed nothing. */
    static boolean refused(DoorCall call) {
        return call.answer() != null && call.answer().startsWith(DoorCall.FAILURE) && !UNCERTAIN.matcher(call.answer()).find();
    }

    long firstUs() {
        return calls.stream().mapToLong(DoorCall::fromUs).min().orElse(Long.MAX_VALUE);
    }

    long lastUs() {
        return calls.stream().mapToLong(DoorCall::toUs).max().orElse(Long.MAX_VALUE);
    }

    /** Returns whether this may stand where another stood: it replaces it, or follows one that may. */
    boolean mayFollow(Given other, Map<String, Given> all) {
        return mayFollow(other, all, new HashSet<>());
    }

    private boolean mayFollow(Given other, Map<String, Given> all, Set<String> looked) {
        if (!looked.add(id) || refused() || !key.equals(other.key)) {
            return false;
        }
        if (mayReplace(other)) {
            return true;
        }
        return all.values().stream().anyMatch(between -> between != this && mayReplace(between) && between.mayFollow(other, all, looked));
    }

    /** One that names nothing replaces whatever stands when it comes. */
    private boolean mayReplace(Given other) {
        return other != this && key.equals(other.key) && lastUs() > other.firstUs()
                && (replaces.isEmpty() || replaces.contains(other.id));
    }
}
