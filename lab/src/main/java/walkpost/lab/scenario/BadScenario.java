package walkpost.lab.scenario;

/** A scenario that can't be played. The message is for its author: where, what stands there and what was expected. */
public final class BadScenario extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates one from what its author is to read. */
    public BadScenario(String message) {
        super(message);
    }
}
