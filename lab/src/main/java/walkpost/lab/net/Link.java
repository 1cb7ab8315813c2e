package walkpost.lab.net;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * What lies between two parties. {@code towards} is the way to the lab's own end, {@code back} the way from it. The play's
 * thread changes it; the handlers of its channels look at it, and are woken when a silence is over.
 */
public final class Link {
    private final long latencyUs;
    private final long jitterUs;
    private final Set<LinkHandler> handlers = ConcurrentHashMap.newKeySet();
    private volatile boolean silentTowards;
    private volatile boolean silentBack;

    /** Creates a link; latency is one way, and varied evenly by up to the jitter. */
    public Link(long latencyUs, long jitterUs) {
        this.latencyUs = latencyUs;
        this.jitterUs = jitterUs;
    }

    /** Lets nothing pass from now on, one way or both, or all again: what was held back then follows, as TCP has it. */
    public void silence(boolean towards, boolean back) {
        silentTowards = towards;
        silentBack = back;
        handlers.forEach(LinkHandler::changed);
    }

    boolean silentTowards() {
        return silentTowards;
    }

    boolean silentBack() {
        return silentBack;
    }

    /** Returns whether no new connection comes up. */
    public boolean silent() {
        return silentTowards || silentBack;
    }

    boolean direct() {
        return latencyUs <= 0 && jitterUs <= 0;
    }

    long delayUs(double part) {
        return Math.max(0, latencyUs + Math.round(jitterUs * (2 * part - 1)));
    }

    void add(LinkHandler handler) {
        handlers.add(handler);
    }

    void remove(LinkHandler handler) {
        handlers.remove(handler);
    }
}
