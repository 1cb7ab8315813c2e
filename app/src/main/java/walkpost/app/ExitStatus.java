package walkpost.app;

/** What the program ends with. */
final class ExitStatus {
    /** All went well. */
    static final int FINE = 0;
    /** A rule was broken, or an expectation not met. */
    static final int BROKEN = 1;
    /** The command line or a file is wrong; nothing was done. */
    static final int USAGE = 2;
    /** The lab ran late, and that leaves open whether an expectation was met; all else was kept. */
    static final int LATE = 3;

    private ExitStatus() { }
}
