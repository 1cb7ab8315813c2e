package walkpost.lab.verdict;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one proxy showed of its copy when it was asked {@code orders}.
 *
 * @param level whether it said that it has caught up
 */
record CopyView(DoorCall call, boolean level, Map<Given.Key, Shown> shown) {
    /**
     * What stands for a key.
     *
     * @param payload as JSON; null where what stood was taken back
     * @param rivals the ids of those that stand beside it
     */
    record Shown(String id, String payload, Set<String> rivals) {
        /** Returns all ids that stand. */
        List<String> ids() {
            var ids = new ArrayList<>(rivals);
            ids.add(id);
            return ids;
        }
    }

    /** Reads an answer; null where it is not of the form that the door promises. */
    static CopyView of(DoorCall call, JsonNode json) {
        if (!json.path("level").isBoolean() || !json.path("orders").isArray()) {
            return null;
        }
        var shown = new HashMap<Given.Key, Shown>();
        for (JsonNode order : json.get("orders")) {
            if (!order.path("topic").isTextual() || !order.path("subject").isTextual() || !order.path("id").isTextual()) {
                return null;
            }
            JsonNode payload = order.path("payload");
            var rivals = new java.util.HashSet<String>();
            order.path("rivals").forEach(r -> rivals.add(r.asText()));
            rivals.remove(order.get("id").asText());
            shown.put(new Given.Key(order.get("topic").asText(), order.get("subject").asText()), new Shown(order.get("id").asText(),
                    payload.isNull() || payload.isMissingNode() ? null : payload.toString(), rivals));
        }
        return new CopyView(call, json.get("level").asBoolean(), shown);
    }

    /** Returns what is acted on for a key, or null for nothing. */
    String payload(Given.Key key) {
        Shown of = shown.get(key);
        return of == null ? null : of.payload();
    }
}
