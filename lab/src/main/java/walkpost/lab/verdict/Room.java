package walkpost.lab.verdict;

/**
 * A figure, and what it could have been, had the lab not been late: it stands between what it would be with all requests
 * lost whose fate the lateness may have decided, and with all of them served.
 */
public record Room(double is, double from, double to) {
    /** How a figure stands to what is expected. */
    public enum Stand { MET, UNMET, OPEN }

    /** Returns whether a figure is at least so much: whatever the lateness did, or not to be said because of it. */
    public Stand atLeast(double least) {
        return from >= least ? Stand.MET : to < least ? Stand.UNMET : Stand.OPEN;
    }
}
