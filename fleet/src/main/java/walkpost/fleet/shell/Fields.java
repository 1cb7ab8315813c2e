package walkpost.fleet.shell;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import walkpost.fleet.FleetException.BadFile;
import walkpost.fleet.member.Address;

/**
 * One table of the fleet's file, read field by field. A misspelt field passed over in silence would give a fleet other than the one
 * meant: {@link #only} refuses it.
 */
final class Fields {
    /** Two words further apart than this are not one word misspelt. */
    private static final int MOST_SLIPS = 3;
    /** What names members and clusters: it stands in messages, logs and calls as it is. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})\\s*(ms|s|m|h)");
    private static final Map<String, Long> UNITS_US = Map.of("ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L, "h", 3_600_000_000L);

    private final String file;
    private final String path;
    private final JsonNode node;

    Fields(String file, String path, JsonNode node) {
        this.file = file;
        this.path = path;
        this.node = node;
    }

    /** Returns the refusal of a field, with what stands there and what was expected. */
    BadFile wrong(String field, String expected) {
        JsonNode value = node.get(field);
        return new BadFile(file, at(field), (value == null ? "missing" : "found " + value) + ", expected " + expected);
    }

    private String at(String field) {
        return path.isEmpty() ? field : path + "." + field;
    }

    boolean has(String field) {
        return node.has(field);
    }

    int whole(String field, int least, int most) throws BadFile {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber() || value.asLong() < least || value.asLong() > most) {
            throw wrong(field, "a whole number from " + least + " to " + most);
        }
        return value.asInt();
    }

    /** Reads the name of a file. */
    String fileName(String field) throws BadFile {
        JsonNode value = node.path(field);
        if (!value.isTextual() || value.asText().isBlank() || value.asText().indexOf('\0') >= 0) {
            throw wrong(field, "the name of a file");
        }
        return value.asText();
    }

    String name(String field) throws BadFile {
        JsonNode value = node.path(field);
        if (!value.isTextual() || !isName(value.asText())) {
            throw wrong(field, "a name of up to 64 letters, digits, dots, dashes and underscores");
        }
        return value.asText();
    }

    static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    /** Reads a list of names, one or more, each once. */
    List<String> names(String field) throws BadFile {
        String expected = "a list of names, one or more, each once";
        var names = new ArrayList<String>();
        for (JsonNode item : list(field, expected)) {
            if (!item.isTextual() || !isName(item.asText())) {
                throw wrong(field, expected);
            }
            names.add(item.asText());
        }
        if (names.isEmpty() || new HashSet<>(names).size() < names.size()) {
            throw wrong(field, expected);
        }
        return List.copyOf(names);
    }

    /** Reads an IPv4 address in numbers and a port of no less than this. */
    Address address(String field, int leastPort) throws BadFile {
        Address address = address(node.path(field), leastPort);
        if (address == null) {
            throw wrong(field, "an IPv4 address in numbers and a port from " + leastPort + " to 65535, such as \"127.0.0.1:7401\"");
        }
        return address;
    }

    /** Reads a list of addresses; none where the file leaves it out. */
    List<Address> addresses(String field) throws BadFile {
        if (!has(field)) {
            return List.of();
        }
        String expected = "a list of IPv4 addresses in numbers with ports, such as \"127.0.0.1:7401\"";
        var addresses = new ArrayList<Address>();
        for (JsonNode item : list(field, expected)) {
            Address address = address(item, 1);
            if (address == null) {
                throw wrong(field, expected);
            }
            addresses.add(address);
        }
        return List.copyOf(addresses);
    }

    private JsonNode list(String field, String expected) throws BadFile {
        if (!node.path(field).isArray()) {
            throw wrong(field, expected);
        }
        return node.get(field);
    }

    /** There is no DNS, and none is to be waited for. */
    private static Address address(JsonNode value, int leastPort) {
        String text = value.isTextual() ? value.asText() : "";
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !NetUtil.isValidIpV4Address(text.substring(0, colon)) || !text.substring(colon + 1).matches("\\d{1,5}")) {
            return null;
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return port < leastPort || port > 65_535 ? null : new Address(text.substring(0, colon), port);
    }

    /** Reads a table of durations under names that are the writer's own; empty where the file leaves it out. In microseconds. */
    Map<String, Long> durations(String field, long leastUs, long mostUs) throws BadFile {
        if (!has(field)) {
            return Map.of();
        }
        if (!node.get(field).isObject()) {
            throw wrong(field, "a table");
        }
        var durations = new TreeMap<String, Long>();
        var table = new Fields(file, at(field), node.get(field));
        for (Map.Entry<String, JsonNode> entry : node.get(field).properties()) {
            durations.put(entry.getKey(), table.duration(entry.getKey(), leastUs, mostUs));
        }
        return Map.copyOf(durations);
    }

    private long duration(String field, long leastUs, long mostUs) throws BadFile {
        Matcher form = DURATION.matcher(node.path(field).isTextual() ? node.get(field).asText().strip() : "");
        long us = form.matches() ? Long.parseLong(form.group(1)) * UNITS_US.get(form.group(2)) : -1;
        if (us < leastUs || us > mostUs) {
            throw wrong(field, "a duration from \"" + leastUs / 1_000 + "ms\" to \"" + mostUs / 1_000_000
                    + "s\" with its unit, such as \"300ms\", \"3s\" or \"5m\"");
        }
        return us;
    }

    /** Refuses all fields but these, and names the nearest that could have been meant. */
    void only(String... known) throws BadFile {
        for (Map.Entry<String, JsonNode> entry : node.properties()) {
            String name = entry.getKey();
            String nearest = Stream.of(known).min(Comparator.comparingInt(k -> slips(name, k))).orElseThrow();
            if (!nearest.equals(name)) {
                throw new BadFile(file, at(name), "no such field, expected "
                        + (slips(name, nearest) <= MOST_SLIPS ? "'" + nearest + "'" : "one of " + List.of(known)));
            }
        }
    }

    /** Returns how many letters are to be put in, left out or changed to make one word of another (Levenshtein 1966). */
    private static int slips(String from, String to) {
        int[] row = new int[to.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= from.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int changed = diagonal + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(changed, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[to.length()];
    }
}
