package walkpost.fleet.scale;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.member.Life;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserveSettings;
import walkpost.fleet.observe.Observer;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;

/** A process without a vote: membership and an {@link Observer}. */
final class Watcher extends Process {
    private final Observer observer;
    private final Deque<ObserverAction> actions = new ArrayDeque<>();

    Watcher(World world, Host host, Life life) {
        super(world, host, life);
        observer = new Observer(ObserveSettings.defaults(), life, "region-" + host.region(), world.voters(), world.agenda().nextSeed());
    }

    Observer observer() {
        return observer;
    }

    @Override
    void peers(Map<String, Long> roundTripUs) {
        Map<String, Long> voters = new HashMap<>();
        world().voters().forEach(name -> {
            Long trip = roundTripUs.get(name);
            if (trip != null) {
                voters.put(name, trip);
            }
        });
        handle(new ObserverEvent.LiveVoters(voters));
    }

    @Override
    boolean concerns(String name) {
        return world().voters().contains(name);
    }

    @Override
    void ticked(long nowUs) {
        handle(new ObserverEvent.Tick());
    }

    @Override
    void received(String from, int shard, ShardMessage message) {
        // An observer has no shards.
    }

    @Override
    void received(String from, ObserveMessage message) {
        handle(new ObserverEvent.Received(from, message));
    }

    @Override
    void tell(String topic, String subject, String payload) {
        handle(new ObserverEvent.WriteEntry(topic, subject, payload));
    }

    @Override
    void order(Order.Key key, String id, String replaces, String payload) {
        handle(new ObserverEvent.Propose(key, id, replaces, payload));
    }

    @Override
    boolean level() {
        return observer.isCaughtUp();
    }

    @Override
    Map<Order.Key, EffectiveOrder> acting() {
        return observer.effectiveOrders();
    }

    private void handle(ObserverEvent event) {
        long fromNs = System.nanoTime();
        observer.handle(world().nowUs(), event, actions::add);
        cost().machine(fromNs);
        while (!actions.isEmpty()) {
            ObserverAction action = actions.remove();
            if (action instanceof ObserverAction.Send send) {
                send(send.to(), send.message());
            } else if (action instanceof ObserverAction.EffectiveOrderChanged stands) {
                world().orders().stands(host(), stands.key(), stands.effectiveOrder());
            } else if (action instanceof ObserverAction.Acknowledged done) {
                world().orders().acknowledged(done.id(), done.order());
            } else if (action instanceof ObserverAction.Refused no) {
                world().orders().refused(no.id(), no.cause());
            }
        }
    }
}
