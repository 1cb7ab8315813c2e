package walkpost.fleet.scale;

/**
 * What one host's processes took of a core, in nanoseconds: the machines' handling, and the codec's work. Bytes are written for each
 * message, and read for one of so many, which counts for all of them.
 */
final class Cost {
    static final int READ_ONE_OF = 32;

    private long machinesNs;
    private long membershipNs;
    private long codecNs;

    void machine(long fromNs) {
        machinesNs += System.nanoTime() - fromNs;
    }

    void membership(long fromNs) {
        membershipNs += System.nanoTime() - fromNs;
    }

    void wrote(long fromNs) {
        codecNs += System.nanoTime() - fromNs;
    }

    void read(long fromNs) {
        codecNs += READ_ONE_OF * (System.nanoTime() - fromNs);
    }

    long machinesNs() {
        return machinesNs;
    }

    long membershipNs() {
        return membershipNs;
    }

    long codecNs() {
        return codecNs;
    }

    void clear() {
        machinesNs = 0;
        membershipNs = 0;
        codecNs = 0;
    }
}
