package walkpost.proxy;

/** Counts the bytes of bodies that the process holds, over all connections: its memory is one and limited. */
final class Buffers {
    private final long most;
    private long held;

    Buffers(long most) {
        this.most = most;
    }

    void hold(int bytes) {
        held += bytes;
    }

    void letGo(int bytes) {
        held -= bytes;
    }

    /** Returns whether no more is to be gathered that could be passed on. */
    boolean full() {
        return held >= most;
    }

    long held() {
        return held;
    }
}
