package walkpost.wire;

import walkpost.Balancer;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

/** Translates between the lines of the simulator's wire format and the events and actions of {@link Balancer}. Stateless. */
final class Codec {
    private static final Map<String, Balancer.Outcome> OUTCOMES = Map.of(
            "delivered", Balancer.Outcome.OK,
            "app_error", Balancer.Outcome.ERROR,
            "shed", Balancer.Outcome.FULL,
            "expired", Balancer.Outcome.TIMEOUT,
            "dial_failed", Balancer.Outcome.CONNECT_FAILED,
            "dropped", Balancer.Outcome.RESET,
            "revoked", Balancer.Outcome.CANCELLED,
            "unused", Balancer.Outcome.NOT_SENT);
    private static final Map<String, Balancer.BackendState> STATES = Map.of(
            "IN", Balancer.BackendState.READY,
            "LAME", Balancer.BackendState.DRAINING,
            "OUT", Balancer.BackendState.GONE);
    private static final Map<String, Balancer.ListKind> LISTS = Map.of(
            "patch", Balancer.ListKind.DELTA,
            "whole", Balancer.ListKind.FULL,
            "stale_copy", Balancer.ListKind.CACHED,
            "broken", Balancer.ListKind.FAILED);

    private Codec() { }

    /** Reads the settings of an {@code up} line. */
    static Balancer.Settings settings(WireLine up) {
        var values = new HashMap<String, String>();
        for (int i = 0; i < up.size(); i++) {
            values.put(up.key(i), up.value(i));
        }
        return SettingsReader.read(values, up.wholeNumber("prng"));
    }

    /** Returns the event of a line, or null if the module does not use that event. The list update, of several lines, is not read here. */
    static Balancer.Event event(String name, WireLine line) {
        switch (name) {
            case "incoming":
                return new Balancer.Arrival(line.text("op_id"), line.text("kind"), line.optional("user_group"),
                        line.optional("path_key"), line.wholeNumber("patience_left_us"), line.flag("repeat"),
                        line.wholeNumber("estimate_us", 0));
            case "completed":
                return new Balancer.AttemptEnded(line.text("op_id"), line.nonNegativeInt("go"), line.text("backend"),
                        word(line, "how", OUTCOMES), line.wholeNumber("cost_time_us"), line.flag("last"));
            case "deadline_hit":
                return new Balancer.TimerFired(line.text("ctx"));
            case "hangup":
                return new Balancer.ClientGone(line.text("op_id"));
            case "flowing":
                return new Balancer.ResponseStreamStarted(line.text("op_id"), line.nonNegativeInt("go"));
            case "probed":
                return new Balancer.ProbeEnded(line.text("backend"), word(line, "how", OUTCOMES),
                        line.wholeNumber("cost_time_us"));
            case "inbox":
                return null;
            default:
                throw new WireException("unknown event '" + name + "'");
        }
    }

    /** Reads the kind of list from an {@code update} line. */
    static Balancer.ListKind listKind(WireLine line) {
        return word(line, "form", LISTS);
    }

    /** Reads an {@code entry} line of a list. */
    static Balancer.Backend backend(WireLine line) {
        if (!line.name().equals("entry")) {
            throw new WireException("expected 'entry', found '" + line.name() + "'");
        }
        return new Balancer.Backend(line.text("backend"), word(line, "stage_state", STATES), line.optional("machine"),
                line.optional("zone"), (int) line.wholeNumber("group", 0), line.wholeNumber("last_start_us", 0),
                line.number("capacity_hint", 1));
    }

    /** Appends the line for an action of the instance with number {@code instance}. */
    static void write(StringBuilder out, int instance, Balancer.Action action) {
        if (action instanceof Balancer.Send a) {
            head(out, "relay", instance).append(" op_id=").append(a.id()).append(" backend=").append(a.backend())
                    .append(" max_wait_us=").append(a.timeoutUs());
        } else if (action instanceof Balancer.SetTimer a) {
            head(out, "arm", instance).append(" fire_at_us=").append(a.atUs()).append(" ctx=").append(a.token());
        } else if (action instanceof Balancer.Refuse a) {
            head(out, "not_now", instance).append(" op_id=").append(a.id());
            if (a.retryAfterUs() > 0) {
                out.append(" not_before_for_us=").append(a.retryAfterUs());
            }
        } else if (action instanceof Balancer.Fail a) {
            head(out, "finish_error", instance).append(" op_id=").append(a.id());
        } else if (action instanceof Balancer.Cancel a) {
            head(out, "retract", instance).append(" op_id=").append(a.id()).append(" go=").append(a.attempt());
        } else if (action instanceof Balancer.Release a) {
            head(out, "release", instance).append(" backend=").append(a.backend());
        } else if (action instanceof Balancer.Probe a) {
            head(out, "sound_out", instance).append(" backend=").append(a.backend());
        } else if (action instanceof Balancer.Watch a) {
            head(out, "observe", instance).append(" enable=").append(a.on() ? 1 : 0);
        } else if (action instanceof Balancer.Fetch) {
            head(out, "pull", instance);
        } else if (action instanceof Balancer.Log a) {
            head(out, "print", instance).append(" message=").append(oneLine(a.text()));
        } else {
            throw new IllegalStateException("no wire format for action " + action);
        }
        out.append('\n');
    }

    /** Appends the beginning of a line: the name of the action and the number of the instance. */
    static StringBuilder head(StringBuilder out, String name, int instance) {
        return out.append(name).append(" who=").append(instance);
    }

    /** Returns a text with its line breaks replaced by spaces. */
    static String oneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }

    private static <T> T word(WireLine line, String key, Map<String, T> words) {
        String value = line.text(key);
        T meaning = words.get(value);
        if (meaning == null) {
            throw new WireException(line.name() + ": unknown value '" + value + "' in '" + key + "', expected one of "
                    + new TreeSet<>(words.keySet()));
        }
        return meaning;
    }
}
