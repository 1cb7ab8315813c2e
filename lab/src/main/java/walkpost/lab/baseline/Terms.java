package walkpost.lab.baseline;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** What a plain proxy reads of its configuration. */
record Terms(InetSocketAddress listen, InetSocketAddress discovery, JsonNode known, long seed, int tries, boolean duplicates,
        double coldFrom, long coldUs, long askUs, Map<String, RequestClass> classes) {

    /** A class, by what may be done with it. */
    record RequestClass(String effect, long windowUs) { }

    static Terms read(Path file) throws IOException {
        JsonNode json = new ObjectMapper().readTree(file.toFile());
        JsonNode settings = json.path("settings");
        var classes = new HashMap<String, RequestClass>();
        for (JsonNode c : settings.path("profiles")) {
            classes.put(c.path("name").asText(), new RequestClass(c.path("effect").asText(), c.path("window_us").asLong()));
        }
        JsonNode bounds = settings.path("bounds");
        JsonNode rules = settings.path("invariants");
        return new Terms(address(json.path("listen").asText()), address(json.path("discovery").asText()), json.path("known"),
                Long.parseUnsignedLong(json.path("seed").asText(), 16), bounds.path("most_tries").asInt(),
                bounds.path("may_duplicate").asBoolean(), rules.path("cold_from").asDouble(), rules.path("cold_us").asLong(),
                rules.path("must_ask_in_us").asLong(), classes);
    }

    static InetSocketAddress address(String text) throws UnknownHostException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    }
}
