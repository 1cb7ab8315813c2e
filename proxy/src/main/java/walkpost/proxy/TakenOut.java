package walkpost.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which backends are out: all that anyone has taken out, the operators at this proxy's own door or the fleet. A backend is given back
 * once nobody has it out any more. The owner of that union, on the one event loop.
 */
final class TakenOut {
    private final Proxy proxy;
    /** Who has a backend out; none for those that are in use. */
    private final Map<String, Set<Exclusions>> takers = new HashMap<>();

    TakenOut(Proxy proxy) {
        this.proxy = proxy;
    }

    /** Returns whether the operators may speak of a backend by this id. */
    boolean knows(String id) {
        return proxy.knowsBackend(id);
    }

    /** Someone takes a backend out. */
    void take(String id, Exclusions who) {
        Set<Exclusions> standing = takers.computeIfAbsent(id, i -> new HashSet<>(2));
        if (standing.add(who) && standing.size() == 1) {
            proxy.excluded(id);
        }
    }

    /** Someone that had taken a backend out gives it back; returns whether it is in use again. */
    boolean give(String id, Exclusions who) {
        Set<Exclusions> standing = takers.get(id);
        if (standing == null) {
            return true;
        }
        if (!standing.remove(who) || !standing.isEmpty()) {
            return false;
        }
        takers.remove(id);
        proxy.included(id);
        return true;
    }
}
