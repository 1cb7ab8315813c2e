package walkpost.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * What a proxy is told besides its configuration, or instead of it.
 *
 * @param operator where the operators call; null where they don't
 * @param temp the folder that the process may write to; what is left there outlives an upgrade
 * @param clients the socket at which clients come in, which other processes hold too; null where it is this one's own
 * @param fleet makes this proxy a member of the fleet; null where it is none, and then nothing of the fleet is loaded
 */
record Surroundings(InetSocketAddress operator, Path temp, ServerSocketChannel clients, FleetLink.Opener fleet) {
    /** Names the fleet's file in the environment; the switch of all that the fleet is. */
    static final String FLEET = "WALKPOST_FLEET";

    static Surroundings of(Map<String, String> environment, Config config) throws Config.BadConfig {
        String place = environment.getOrDefault("PROXY_OPERATOR", "");
        InetSocketAddress operator = place.isEmpty() ? config.operator() : Config.address(place);
        if (!place.isEmpty() && operator == null) {
            throw new Config.BadConfig("PROXY_OPERATOR: '" + place + "' is no address and port");
        }
        String temp = environment.getOrDefault("TMPDIR", "");
        return new Surroundings(operator, Path.of(temp.isEmpty() ? System.getProperty("java.io.tmpdir") : temp),
                inherited(environment.getOrDefault("PROXY_LISTEN_FD", "")), fleet(environment, config));
    }

    private static FleetLink.Opener fleet(Map<String, String> environment, Config config) {
        String file = environment.getOrDefault(FLEET, "");
        if (file.isEmpty()) {
            return null;
        }
        var named = new HashMap<>(environment);
        named.putIfAbsent("PROXY_NAME", config.name());
        return FleetLink.opener(Path.of(file), named);
    }

    private static ServerSocketChannel inherited(String descriptor) throws Config.BadConfig {
        if (descriptor.isEmpty()) {
            return null;
        }
        try {
            // The JDK knows of no other descriptor that may be inherited.
            if (descriptor.equals("0") && System.inheritedChannel() instanceof ServerSocketChannel socket) {
                return socket;
            }
        } catch (IOException e) {
            throw new Config.BadConfig("PROXY_LISTEN_FD: " + e);
        }
        throw new Config.BadConfig("PROXY_LISTEN_FD: descriptor '" + descriptor + "' is no listening socket at 0");
    }
}
