package walkpost.proxy;

/** Accepts clients' connections. */
interface ClientListener {
    /** Pauses accepting, or resumes it. */
    void setAccepting(boolean on);

    /** Stops accepting for good. */
    void close();
}
