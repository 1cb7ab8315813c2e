package walkpost.proxy;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import walkpost.Balancer.BackendState;

/**
 * One entry of the list of servers, as discovery gives it. Immutable.
 *
 * @param id the server's id, the same at all proxies
 * @param address the address at which this proxy connects to the server
 * @param state the state of the server
 * @param kind the kind of machine; null if the list does not say
 * @param zone the zone of the machine; null if the list does not say
 * @param cell the cell of the machine
 * @param weight the capacity of the server, relative to that of other servers
 * @param startedMs the last start of the server, in milliseconds of Unix time; 0 means long ago
 */
record ServerListEntry(String id, InetSocketAddress address, BackendState state, String kind, String zone, int cell, double weight,
        long startedMs) {
    private static final String ID = "id";
    private static final String ADDRESS = "addr";
    private static final String STATE = "state";
    private static final String KIND = "kind";
    private static final String ZONE = "zone";
    private static final String CELL = "cell";
    private static final String WEIGHT = "weight";
    private static final String STARTED_MS = "started_ms";
    private static final Map<String, BackendState> STATES = Map.of(
            "ready", BackendState.READY,
            "draining", BackendState.DRAINING,
            "gone", BackendState.GONE);
    private static final Map<BackendState, String> STATE_NAMES = Map.of(
            BackendState.READY, "ready",
            BackendState.DRAINING, "draining",
            BackendState.GONE, "gone");

    /** Parses an entry in discovery's format; returns null if it is malformed. */
    static ServerListEntry parse(JsonNode json) {
        BackendState state = STATES.get(json.path(STATE).asText());
        InetSocketAddress address = Config.parseAddress(json.path(ADDRESS).asText());
        String id = json.path(ID).asText();
        double weight = json.path(WEIGHT).asDouble(1);
        if (state == null || address == null || id.isEmpty() || !(weight > 0) || Double.isInfinite(weight)) {
            return null;
        }
        return new ServerListEntry(id, address, state, json.path(KIND).asText(null), json.path(ZONE).asText(null),
                json.path(CELL).asInt(), weight, json.path(STARTED_MS).asLong());
    }

    /** Writes the entry in discovery's format. */
    void writeTo(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField(ID, id);
        json.writeStringField(ADDRESS, Config.formatAddress(address));
        json.writeStringField(STATE, STATE_NAMES.get(state));
        if (kind != null) {
            json.writeStringField(KIND, kind);
        }
        if (zone != null) {
            json.writeStringField(ZONE, zone);
        }
        json.writeNumberField(CELL, cell);
        json.writeNumberField(WEIGHT, weight);
        json.writeNumberField(STARTED_MS, startedMs);
        json.writeEndObject();
    }
}
