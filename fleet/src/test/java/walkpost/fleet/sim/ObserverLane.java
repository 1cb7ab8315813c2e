package walkpost.fleet.sim;

import java.util.ArrayList;
import java.util.List;
import walkpost.fleet.observe.ObserveSettings;
import walkpost.fleet.observe.Observer;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;

/** What an observer's process does with its machine. */
final class ObserverLane {
    final Node.Process owner;
    final Observer machine;
    final ObserverOracle.View view = new ObserverOracle.View();
    private final Cluster cluster;
    private final Outgoing<ObserverAction> out;

    ObserverLane(Cluster cluster, Node.Process owner, long seed) {
        this.cluster = cluster;
        this.owner = owner;
        machine = new Observer(ObserveSettings.usual(), owner.life, owner.node().region, cluster.configured, seed);
        out = new Outgoing<>(owner, cluster.time, this::carry);
    }

    void handle(ObserverEvent event) {
        for (ObserverEvent reaching : cluster.plant.reaching(owner.node(), event)) {
            List<ObserverAction> actions = new ArrayList<>();
            machine.handle(owner.node().clockUs(), reaching, actions::add);
            for (ObserverAction action : actions) {
                for (ObserverAction leaving : cluster.plant.leaving(owner.node(), action)) {
                    cluster.oracle.observers.emitted(this, leaving);
                    out.add(leaving);
                }
            }
        }
        out.drain();
    }

    void drain() {
        out.drain();
    }

    private void carry(ObserverAction action, long madeUs) {
        if (action instanceof ObserverAction.Send send) {
            if (cluster.time.nowUs() - madeUs <= Node.LATE_US) {
                cluster.carry(owner.node(), send.to(), send.message());
            }
        } else {
            cluster.oracle.observers.carried(this, action);
        }
    }
}
