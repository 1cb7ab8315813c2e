package walkpost;

import java.util.HashMap;
import java.util.Map;

/**
 * The outlier detectors of the flows at one server, by flow name. Only flows that have an attempt in flight, or are ejected or on
 * probation, are stored: any other flow behaves as a new one. So memory grows with the traffic and not with tenants times servers.
 * Used by the thread of its {@link Policy} only.
 */
final class FlowOutlierDetectors {
    private final EjectedFlows ejectedFlows;
    /** The detectors by flow name; null while none is stored, which is the usual case. */
    private Map<String, OutlierDetector> detectors;

    FlowOutlierDetectors(EjectedFlows ejectedFlows) {
        this.ejectedFlows = ejectedFlows;
    }

    boolean isEligible(String flow, long now, long silenceUs) {
        OutlierDetector detector = detectors == null ? null : detectors.get(flow);
        return detector == null || detector.isEligible(now, silenceUs);
    }

    void attemptSent(String flow, long now) {
        getOrCreate(flow).attemptSent(now);
    }

    void attemptEnded(String flow, long now, boolean signal) {
        getOrCreate(flow).attemptEnded(now, signal);
        removeIfInitial(flow);
    }

    void recordResult(String flow, boolean success, long now, long baseEjectionUs) {
        if (success && (detectors == null || !detectors.containsKey(flow))) {
            return;
        }
        OutlierDetector detector = getOrCreate(flow);
        detector.recordResult(success, now, baseEjectionUs);
        if (detector.isEjectedOrOnProbation()) {
            ejectedFlows.add(this, flow, detector, !success);
        } else {
            ejectedFlows.remove(detector);
        }
        removeIfInitial(flow);
    }

    void clearFailures(String flow) {
        getOrCreate(flow).clearFailures();
        removeIfInitial(flow);
    }

    int size() {
        return detectors == null ? 0 : detectors.size();
    }

    private OutlierDetector getOrCreate(String flow) {
        if (detectors == null) {
            detectors = new HashMap<>(2);
        }
        return detectors.computeIfAbsent(flow, name -> new OutlierDetector());
    }

    private void removeIfInitial(String flow) {
        if (detectors.get(flow).isInInitialState()) {
            detectors.remove(flow);
            detectors = detectors.isEmpty() ? null : detectors;
        }
    }
}
