package walkpost.proxy;

/** Where clients come in. */
interface Listener {
    /** Takes no more of them for now, or goes on. */
    void accept(boolean on);

    /** Takes no more of them for good. */
    void close();
}
