package walkpost.fleet.scale;

import java.util.List;
import java.util.Locale;

/** Figures for people. */
final class Figures {
    private Figures() { }

    /** Returns the smallest value that so large a share is not above; NaN of nothing. */
    static double quantile(List<Double> sorted, double share) {
        return sorted.isEmpty() ? Double.NaN : sorted.get(Math.max(0, (int) Math.ceil(share * sorted.size()) - 1));
    }

    static double median(List<Double> values) {
        return quantile(values.stream().sorted().toList(), 0.5);
    }

    static double most(List<Double> values) {
        return quantile(values.stream().sorted().toList(), 1);
    }

    static String number(double value) {
        return Double.isNaN(value) ? "-" : String.format(Locale.ROOT, Math.abs(value) < 10 ? "%.2f" : Math.abs(value) < 100 ? "%.1f"
                : "%,.0f", value);
    }

    static String row(Object... cells) {
        StringBuilder line = new StringBuilder("|");
        for (Object cell : cells) {
            line.append(' ').append(cell instanceof Double value ? number(value) : String.valueOf(cell)).append(" |");
        }
        return line.toString();
    }
}
