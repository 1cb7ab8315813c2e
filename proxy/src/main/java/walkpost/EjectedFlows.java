package walkpost;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The flows that are ejected or on probation, at all servers together, with a bound on their number. If there are more, the flow whose
 * last failure is the oldest has its failures cleared, and its next attempt at that server is one like any other. Used by the thread of
 * its {@link Policy} only.
 */
final class EjectedFlows {
    private record FlowAtServer(FlowOutlierDetectors server, String flow) { }

    private final int maxFlows;
    /** The flows in the order of their last failures, the oldest first. */
    private final Map<OutlierDetector, FlowAtServer> flows = new LinkedHashMap<>();

    EjectedFlows(int maxFlows) {
        this.maxFlows = maxFlows;
    }

    /** Adds a flow, or moves it to the end of the order if it is there already and {@code failedNow} is set. */
    void add(FlowOutlierDetectors server, String flow, OutlierDetector detector, boolean failedNow) {
        if (failedNow) {
            flows.remove(detector);
        }
        flows.putIfAbsent(detector, new FlowAtServer(server, flow));
        if (flows.size() > maxFlows) {
            FlowAtServer oldest = remove(flows.keySet().iterator().next());
            oldest.server().clearFailures(oldest.flow());
        }
    }

    FlowAtServer remove(OutlierDetector detector) {
        return flows.remove(detector);
    }

    int size() {
        return flows.size();
    }
}
