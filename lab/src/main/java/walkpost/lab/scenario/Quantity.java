package walkpost.lab.scenario;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Quantities with their units, as people write them: {@code "300ms"}, {@code "64KiB"}. */
final class Quantity {
    private static final Pattern FORM = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*([A-Za-z]+)");
    /** Microseconds. */
    static final Map<String, Double> DURATION = units("us", 1, "ms", 1e3, "s", 1e6, "m", 60e6);
    /** Bytes. */
    static final Map<String, Double> SIZE = units("B", 1, "KiB", 1024, "MiB", 1024 * 1024, "GiB", 1024L * 1024 * 1024);

    private Quantity() { }

    private static Map<String, Double> units(Object... pairs) {
        var units = new LinkedHashMap<String, Double>();
        for (int i = 0; i < pairs.length; i += 2) {
            units.put((String) pairs[i], ((Number) pairs[i + 1]).doubleValue());
        }
        return units;
    }

    /** Returns the quantity in the least of its units, or -1 if the text is none. */
    static long parse(String text, Map<String, Double> units) {
        Matcher form = FORM.matcher(text.strip());
        if (!form.matches() || !units.containsKey(form.group(2))) {
            return -1;
        }
        return Math.round(Double.parseDouble(form.group(1)) * units.get(form.group(2)));
    }
}
