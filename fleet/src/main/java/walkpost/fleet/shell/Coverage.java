package walkpost.fleet.shell;

import java.util.List;

/**
 * By how many an order is held, it or what has come after it.
 *
 * @param held so many of those who were counted
 * @param of so many were counted: the voters that answered, and the observers that these count
 * @param lacking names of some that lack it
 * @param silent the voters that did not answer in time: they, and those whom they alone count, are not counted here
 */
public record Coverage(int held, int of, List<String> lacking, List<String> silent) {
    public Coverage {
        lacking = List.copyOf(lacking);
        silent = List.copyOf(silent);
    }
}
