package walkpost.lab.scenario;

/** A range that a figure is drawn from, evenly; both ends are equal where there is nothing to draw. */
public record Range(double from, double to) {
    /** Returns the figure at a part of the way, from 0 to 1. */
    public double at(double part) {
        return from + part * (to - from);
    }
}
