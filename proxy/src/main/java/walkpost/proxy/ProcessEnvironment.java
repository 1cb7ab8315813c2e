package walkpost.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The settings that a proxy gets from its environment variables and from inherited sockets. Where they overlap with the configuration
 * file, the environment prevails. Immutable.
 *
 * @param operatorAddress the address of the operator endpoint; null if there is none
 * @param tempDir the directory that the process may write to; its files outlive an upgrade
 * @param inheritedListener the listening socket for clients that other processes hold as well; null if the proxy opens its own
 * @param fleetOpener opens the membership in the fleet; null if the proxy is in no fleet, and then no class of the fleet is loaded
 */
record ProcessEnvironment(InetSocketAddress operatorAddress, Path tempDir, ServerSocketChannel inheritedListener,
        ProxyFleetMember.Opener fleetOpener) {
    /** The environment variable with the path of the fleet's configuration file. If it is unset, the proxy is in no fleet. */
    static final String FLEET_VARIABLE = "WALKPOST_FLEET";

    /**
     * Reads the settings from environment variables and, where these are unset, from the configuration.
     *
     * @throws Config.InvalidConfigException if a variable has a value that can't be used
     */
    static ProcessEnvironment of(Map<String, String> environment, Config config) throws Config.InvalidConfigException {
        String operator = environment.getOrDefault("PROXY_OPERATOR", "");
        InetSocketAddress operatorAddress = operator.isEmpty() ? config.operator() : Config.parseAddress(operator);
        if (!operator.isEmpty() && operatorAddress == null) {
            throw new Config.InvalidConfigException("PROXY_OPERATOR: '" + operator + "' is no address and port; expected HOST:PORT");
        }
        String tempDir = environment.getOrDefault("TMPDIR", "");
        return new ProcessEnvironment(operatorAddress, Path.of(tempDir.isEmpty() ? System.getProperty("java.io.tmpdir") : tempDir),
                inheritedListener(environment.getOrDefault("PROXY_LISTEN_FD", "")), fleetOpener(environment, config));
    }

    private static ProxyFleetMember.Opener fleetOpener(Map<String, String> environment, Config config) {
        String file = environment.getOrDefault(FLEET_VARIABLE, "");
        if (file.isEmpty()) {
            return null;
        }
        var withName = new HashMap<>(environment);
        withName.putIfAbsent("PROXY_NAME", config.name());
        return ProxyFleetMember.opener(Path.of(file), withName);
    }

    private static ServerSocketChannel inheritedListener(String descriptor) throws Config.InvalidConfigException {
        if (descriptor.isEmpty()) {
            return null;
        }
        try {
            // The JDK can take over no inherited descriptor other than 0.
            if (descriptor.equals("0") && System.inheritedChannel() instanceof ServerSocketChannel socket) {
                return socket;
            }
        } catch (IOException e) {
            throw new Config.InvalidConfigException("PROXY_LISTEN_FD: can't take over descriptor 0: " + e);
        }
        throw new Config.InvalidConfigException("PROXY_LISTEN_FD: got '" + descriptor
                + "'; expected 0, with a listening socket as descriptor 0");
    }
}
