package walkpost.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import walkpost.fleet.observe.ObserveSettings;
import walkpost.fleet.observe.Observer;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;

/** The part of a simulated observer's process that runs its state machine and carries out its actions. */
final class SimulatedObserver {
    final Node.Process owner;
    final Observer machine;
    /** The state that the oracle keeps about this observer. */
    final ObserverOracle.View view = new ObserverOracle.View();
    private final SimulatedFleet fleet;
    private final ActionQueue<ObserverAction> out;

    SimulatedObserver(SimulatedFleet fleet, Node.Process owner, long seed) {
        this.fleet = fleet;
        this.owner = owner;
        machine = new Observer(ObserveSettings.defaults(), owner.life, owner.node().region, fleet.configured, seed);
        out = new ActionQueue<>(owner, fleet.time, this::carryOut);
    }

    void handle(ObserverEvent event) {
        for (ObserverEvent injectedEvent : fleet.faultInjection.replaceEvent(owner.node(), event)) {
            List<ObserverAction> actions = new ArrayList<>();
            machine.handle(owner.node().clockUs(), injectedEvent, actions::add);
            for (ObserverAction action : actions) {
                for (ObserverAction injectedAction : fleet.faultInjection.replaceAction(owner.node(), action)) {
                    fleet.oracle.observers.emitted(this, injectedAction);
                    out.add(injectedAction);
                }
            }
        }
        out.drain();
    }

    void drain() {
        out.drain();
    }

    private void carryOut(ObserverAction action, long createdUs) {
        if (action instanceof ObserverAction.Send send) {
            if (fleet.time.nowUs() - createdUs <= Node.MAX_SEND_DELAY_US) {
                fleet.send(owner.node(), send.to(), send.message());
            }
        } else {
            fleet.oracle.observers.carriedOut(this, action);
        }
    }
}
