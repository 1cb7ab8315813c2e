package walkpost.proxy;

/** Accepts clients' connections. */
interface Listener {
    /** Pauses accepting, or resumes it. */
    void accept(boolean on);

    /** Stops accepting for good. */
    void close();
}
