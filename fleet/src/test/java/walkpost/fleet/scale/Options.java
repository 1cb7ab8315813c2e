package walkpost.fleet.scale;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What a run was asked for: a scenario and {@code --name value} pairs. */
final class Options {
    private final String scenario;
    private final Map<String, String> values = new HashMap<>();

    Options(String... args) {
        if (args.length % 2 == 0) {
            throw new IllegalArgumentException("a scenario and pairs of --name value are needed: " + Arrays.toString(args));
        }
        scenario = args[0];
        for (int i = 1; i < args.length; i += 2) {
            if (!args[i].startsWith("--")) {
                throw new IllegalArgumentException(args[i] + " is no --name");
            }
            values.put(args[i].substring(2), args[i + 1]);
        }
    }

    String scenario() {
        return scenario;
    }

    int number(String name, int otherwise) {
        return Integer.parseInt(values.getOrDefault(name, String.valueOf(otherwise)));
    }

    double share(String name, double otherwise) {
        return Double.parseDouble(values.getOrDefault(name, String.valueOf(otherwise)));
    }

    boolean flag(String name, boolean otherwise) {
        return Boolean.parseBoolean(values.getOrDefault(name, String.valueOf(otherwise)));
    }

    List<Integer> numbers(String name, String otherwise) {
        return Arrays.stream(values.getOrDefault(name, otherwise).split(",")).map(Integer::valueOf).toList();
    }
}
