package beechfall.proxy;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;

/**
 * What a proxy is told besides its configuration, or instead of it.
 *
 * @param operator where the operators call; null where they don't
 * @param temp the folder that the process may write to; what is left there outlives an upgrade
 */
record Surroundings(InetSocketAddress operator, Path temp) {

    static Surroundings of(Map<String, String> environment, Config config) throws Config.BadConfig {
        String place = environment.getOrDefault("PROXY_OPERATOR", "");
        InetSocketAddress operator = place.isEmpty() ? config.operator() : Config.address(place);
        if (!place.isEmpty() && operator == null) {
            throw new Config.BadConfig("PROXY_OPERATOR: '" + place + "' is no address and port");
        }
        String temp = environment.getOrDefault("TMPDIR", "");
        return new Surroundings(operator, Path.of(temp.isEmpty() ? System.getProperty("java.io.tmpdir") : temp));
    }
}
