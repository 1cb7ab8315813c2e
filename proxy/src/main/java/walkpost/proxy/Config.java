package walkpost.proxy;

import walkpost.Balancer;
import walkpost.wire.SettingsReader;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The configuration of a proxy, read from its file at the start and again when it is reconfigured. Immutable.
 *
 * @param name the name of this proxy
 * @param listen the address for clients
 * @param discovery the address of discovery
 * @param operator the address of the operator endpoint; null if there is none
 * @param sockets the number of descriptors that the process may use
 * @param memoryBytes the memory of the process, in bytes
 * @param cores the share of CPU cores that the process has; may be a fraction
 * @param lastKnownList the list of servers from this proxy's previous run, in discovery's format; null if there is none
 * @param settings the settings of the balancer
 * @param connIdleUs the time after which a server closes an idle connection
 * @param connectTimeoutUs the timeout for connecting to a server
 * @param fieldPaths the paths of all JSON fields in the file, except optional ones and those inside arrays
 */
record Config(String name, InetSocketAddress listen, InetSocketAddress discovery, InetSocketAddress operator,
        int sockets, long memoryBytes, double cores, JsonNode lastKnownList, Balancer.Settings settings,
        long connIdleUs, long connectTimeoutUs, Set<String> fieldPaths) {

    static final ObjectMapper JSON = JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
    /** Fields that a new configuration may lack although the current one has them. */
    private static final Set<String> OPTIONAL_FIELDS = Set.of("known", "operator", "extra");

    /** Thrown if a proxy cannot run with a configuration; the message is for the operators and names the field. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message);
        }
    }

    static Config read(Path file) throws InvalidConfigException {
        try {
            return parse(JSON.readTree(new StartupRetry().callWithRetry("configuration", () -> Files.readAllBytes(file))));
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException("the configuration file is not valid JSON: " + e.getOriginalMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InvalidConfigException("the thread was interrupted while it read the configuration file");
        } catch (InvalidConfigException e) {
            throw e;
        } catch (Exception e) {
            throw new InvalidConfigException("the configuration file cannot be read: " + e);
        }
    }

    static Config parse(JsonNode json) throws InvalidConfigException {
        JsonNode settings = json.path("settings");
        if (!settings.isObject()) {
            throw new InvalidConfigException("'settings': missing or not a JSON object");
        }
        var values = new HashMap<String, String>();
        flatten("", settings, values);
        try {
            return new Config(requiredText(json, "name"), requiredAddress(json, "listen"), requiredAddress(json, "discovery"),
                    json.has("operator") ? requiredAddress(json, "operator") : null,
                    parseSockets(json), parseMemoryBytes(json), parseCores(json),
                    json.path("known").isObject() ? json.path("known") : null,
                    SettingsReader.read(values, parseSeed(json)),
                    SettingsReader.wholeNumber(values, "bounds.conn_idle_us"),
                    SettingsReader.wholeNumber(values, "bounds.connect_timeout_us"),
                    Set.copyOf(collectFieldPaths("", json, new HashSet<>())));
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("'settings': " + e.getMessage());
        }
    }

    /** Adds the paths of the fields of a JSON object, and of the objects in it, to a set; skips optional fields and arrays' elements. */
    private static Set<String> collectFieldPaths(String prefix, JsonNode node, Set<String> paths) {
        node.properties().forEach(field -> {
            if (!OPTIONAL_FIELDS.contains(field.getKey())) {
                paths.add(prefix + field.getKey());
                collectFieldPaths(prefix + field.getKey() + ".", field.getValue(), paths);
            }
        });
        return paths;
    }

    /**
     * Returns a new configuration unchanged if it may replace this one.
     *
     * @throws InvalidConfigException if it lacks a field that this one has: its file was probably cut short, so the rest
     *         cannot be trusted
     */
    Config checkedReplacement(Config replacement) throws InvalidConfigException {
        for (String fieldPath : fieldPaths) {
            if (!replacement.fieldPaths.contains(fieldPath)) {
                throw new InvalidConfigException("'" + fieldPath + "': missing, but the current configuration has it");
            }
        }
        return replacement;
    }

    /** Flattens nested JSON to paths and values, in the format of the simulator's wire protocol. */
    private static void flatten(String path, JsonNode node, Map<String, String> values) {
        if (node.isObject()) {
            node.properties().forEach(field ->
                    flatten(path.isEmpty() ? field.getKey() : path + "." + field.getKey(), field.getValue(), values));
        } else if (node.isArray()) {
            values.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), values);
            }
        } else {
            values.put(path, node.asText());
        }
    }

    private static String requiredText(JsonNode json, String field) throws InvalidConfigException {
        String text = json.path(field).asText("");
        if (text.isEmpty()) {
            throw new InvalidConfigException("'" + field + "': missing");
        }
        return text;
    }

    private static InetSocketAddress requiredAddress(JsonNode json, String field) throws InvalidConfigException {
        String text = requiredText(json, field);
        InetSocketAddress address = parseAddress(text);
        if (address == null) {
            throw new InvalidConfigException("'" + field + "': '" + text + "' is not a numeric IP address and port,"
                    + " such as 127.0.0.1:8080");
        }
        return address;
    }

    private static long parseSeed(JsonNode json) throws InvalidConfigException {
        String text = requiredText(json, "seed");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("'seed': '" + text + "' is not a hexadecimal number of up to 64 bits");
        }
    }

    private static int parseSockets(JsonNode json) throws InvalidConfigException {
        JsonNode limit = json.path("limits").path("sockets");
        if (!limit.canConvertToInt() || limit.asInt() < 128) {
            throw new InvalidConfigException("'limits.sockets': '" + limit.asText() + "' is not an integer of at least 128");
        }
        return limit.asInt();
    }

    private static long parseMemoryBytes(JsonNode json) throws InvalidConfigException {
        long megabytes = json.path("limits").path("memory_mb").asLong(192);
        if (megabytes < 1) {
            throw new InvalidConfigException("'limits.memory_mb': " + megabytes + " is not at least 1");
        }
        return megabytes * 1024 * 1024;
    }

    private static double parseCores(JsonNode json) throws InvalidConfigException {
        double cores = json.path("limits").path("cores").asDouble(1);
        if (!(cores > 0)) {
            throw new InvalidConfigException("'limits.cores': " + cores + " is not above 0");
        }
        return cores;
    }

    /** Returns an address as {@link #parseAddress} takes it. */
    static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Parses a numeric IP address and a port; returns null if the text is anything else. Host names are not accepted, because there is no
     * DNS, and resolving a name could block.
     */
    static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (host == null) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 0 || port > 65_535 ? null : new InetSocketAddress(InetAddress.getByAddress(host), port);
        } catch (NumberFormatException | UnknownHostException e) {
            return null;
        }
    }
}
