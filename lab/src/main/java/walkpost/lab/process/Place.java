package walkpost.lab.process;

/** A place in a play where one process runs after the other, as faults see it. */
public interface Place {
    /** Returns whether a process runs here. */
    boolean alive();

    /** Ends it outright, as a machine ends that dies. */
    void kill();

    /** Asks it to end. */
    void terminate();

    /** Lets it stand still. */
    void stop();

    /** Lets it go on. */
    void go();
}
