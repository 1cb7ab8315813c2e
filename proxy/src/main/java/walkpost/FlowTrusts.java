package walkpost;

import java.util.HashMap;
import java.util.Map;

/**
 * The trust in flows at one backend, by name. Only those are kept that have an attempt out or a failure against them:
 * any other is as good as new, so that what is kept grows with what goes on and not with tenants times backends.
 */
final class FlowTrusts {
    private final PutOff putOff;
    /** Null while all are at rest, as at most backends. */
    private Map<String, Trust> kept;

    FlowTrusts(PutOff putOff) {
        this.putOff = putOff;
    }

    boolean hold(String flow, long now, long silenceUs) {
        Trust trust = kept == null ? null : kept.get(flow);
        return trust == null || trust.holds(now, silenceUs);
    }

    void sent(String flow, long now) {
        kept(flow).sent(now);
    }

    void ended(String flow, long now, boolean heard) {
        kept(flow).ended(now, heard);
        drop(flow);
    }

    void judge(String flow, boolean good, long now, long leastUs) {
        if (good && (kept == null || !kept.containsKey(flow))) {
            return;
        }
        Trust trust = kept(flow);
        trust.judge(good, now, leastUs);
        if (trust.putOff()) {
            putOff.add(this, flow, trust, !good);
        } else {
            putOff.remove(trust);
        }
        drop(flow);
    }

    /** Forgets the failures of a flow. */
    void forgive(String flow) {
        kept(flow).forgive();
        drop(flow);
    }

    int size() {
        return kept == null ? 0 : kept.size();
    }

    private Trust kept(String flow) {
        if (kept == null) {
            kept = new HashMap<>(2);
        }
        return kept.computeIfAbsent(flow, name -> new Trust());
    }

    private void drop(String flow) {
        if (kept.get(flow).atRest()) {
            kept.remove(flow);
            kept = kept.isEmpty() ? null : kept;
        }
    }
}
