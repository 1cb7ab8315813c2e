package walkpost.wire;

/** The input is malformed. The message says which field is wrong, and what was expected. */
final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String message) {
        super(message);
    }
}
