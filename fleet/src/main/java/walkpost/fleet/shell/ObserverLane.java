package walkpost.fleet.shell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.member.Life;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserveSettings;
import walkpost.fleet.observe.Observer;
import walkpost.fleet.observe.ObserverAction;
import walkpost.fleet.observe.ObserverEvent;

/** Works an {@link Observer}, and the questions that it asks. Any thread may call. */
final class ObserverLane {
    private final List<String> voters;
    private final Counters counters;
    private final Sender sender;
    private final Callers callers;
    private final Observer observer;
    private final Turns<ObserverEvent, ObserverAction> turns;
    private final Desk desk;
    private volatile boolean level;

    /** What listeners have been told; guarded by itself, as are the next three. */
    private final List<Outlet> outlets = new ArrayList<>();
    private final Map<Order.Key, EffectiveOrder> stood = new LinkedHashMap<>();
    private boolean toldLevel;
    private Map<String, Integer> toldLives = Map.of();

    /** The feeds last told in the log; theirs who has the machine's turn. */
    private List<String> toldFeeds = List.of();

    ObserverLane(FleetFile file, Life self, Clock clock, Counters counters, Executor pool, Sender sender, Callers callers, long seed) {
        voters = file.voters();
        this.counters = counters;
        this.sender = sender;
        this.callers = callers;
        observer = new Observer(ObserveSettings.defaults(), self, file.region(), Set.copyOf(voters), seed);
        turns = new Turns<>("observer", observer, new ObserverEvent.Tick(), clock, counters, pool, new Turns.Carrier<>() {
            @Override
            public void carryOut(ObserverAction action, long waitedUs) {
                ObserverLane.this.carryOut(action, waitedUs);
            }

            @Override
            public void done() {
                tellFeeds();
            }
        });
        desk = new Desk(voters, clock, sender::send);
    }

    private void carryOut(ObserverAction action, long waitedUs) {
        if (action instanceof ObserverAction.Send send) {
            if (waitedUs > Ages.LATE_US) {
                counters.dropped("late");
            } else {
                sender.send(send.to(), Ages.aged(send.message(), waitedUs));
            }
        } else if (action instanceof ObserverAction.EffectiveOrderChanged stands) {
            tell(listener -> listener.effectiveOrderChanged(stands.key(), stands.effectiveOrder()), () -> {
                if (stands.effectiveOrder().payload() == null && stands.effectiveOrder().rivals().isEmpty()) {
                    stood.remove(stands.key());
                } else {
                    stood.put(stands.key(), stands.effectiveOrder());
                }
            });
        } else if (action instanceof ObserverAction.CaughtUpChanged now) {
            changed(now.caughtUp());
        } else if (action instanceof ObserverAction.ObserverCountsChanged lives) {
            tell(listener -> listener.lives(lives.byRegion()), () -> toldLives = lives.byRegion());
        } else if (action instanceof ObserverAction.Acknowledged acknowledged) {
            Order order = acknowledged.order();
            Log.info("order_acknowledged", "id", acknowledged.id(), "topic", order.key().topic(), "subject", order.key().subject(),
                    "version", order.version());
            callers.acknowledged(acknowledged.id(), order);
        } else if (action instanceof ObserverAction.Refused refused) {
            FleetException why = refused.cause();
            Log.warn("order_refused", "id", refused.id(), "error", why.getClass().getSimpleName(), "reason", why.getMessage());
            callers.refused(refused.id(), why);
        }
    }

    private void changed(boolean now) {
        level = now;
        if (now) {
            Log.info("control_reached", "feeds", turns.read(nowUs -> observer.feeds()));
        } else {
            Log.warn("control_out_of_reach", "known_ms", controlAgeUs() / 1_000);
        }
        tell(listener -> listener.caughtUpChanged(now), () -> toldLevel = now);
    }

    private void tellFeeds() {
        List<String> now = turns.read(nowUs -> observer.feeds());
        if (!now.equals(toldFeeds)) {
            toldFeeds = now;
            Log.info("feeds_changed", "feeds", now);
        }
    }

    private void tell(Consumer<FleetListener> event, Runnable noted) {
        synchronized (outlets) {
            noted.run();
            outlets.forEach(outlet -> outlet.put(event));
        }
    }

    /** Tells a listener of what was told of already, and of all that comes from now on. */
    void listen(Outlet outlet) {
        synchronized (outlets) {
            boolean now = toldLevel;
            Map<String, Integer> lives = toldLives;
            outlet.put(listener -> listener.caughtUpChanged(now));
            outlet.put(listener -> listener.lives(lives));
            stood.forEach((key, acting) -> outlet.put(listener -> listener.effectiveOrderChanged(key, acting)));
            outlets.add(outlet);
        }
    }

    void received(String from, ObserveMessage message, int length) {
        if (Desk.takes(message)) {
            desk.received(from, message);
        } else {
            turns.put(waitedUs -> new ObserverEvent.Received(from, Ages.aged(message, waitedUs)), length);
        }
    }

    void tick() {
        turns.tick();
        desk.tick();
    }

    void peers(ShardEvent.LivePeers now) {
        var living = new LinkedHashMap<>(now.roundTripUs());
        living.keySet().retainAll(voters);
        turns.put(new ObserverEvent.LiveVoters(living));
    }

    void tell(String topic, String subject, String payload) {
        turns.put(new ObserverEvent.WriteEntry(topic, subject, payload));
    }

    void propose(Order.Key key, String id, String replaces, String payload) {
        turns.put(new ObserverEvent.Propose(key, id, replaces, payload));
    }

    boolean level() {
        return level;
    }

    long controlAgeUs() {
        return turns.read(observer::controlAgeUs);
    }

    Map<Order.Key, EffectiveOrder> orders() {
        return turns.read(nowUs -> Map.copyOf(observer.effectiveOrders()));
    }

    List<String> feeds() {
        return turns.read(nowUs -> List.copyOf(observer.feeds()));
    }

    Map<String, Integer> lives() {
        return turns.read(nowUs -> observer.observersByRegion());
    }

    Map<String, Long> figures() {
        return turns.read(nowUs -> observer.counters());
    }

    CompletionStage<TopicEntries> entries(String topic) {
        return desk.entries(topic);
    }

    CompletionStage<Coverage> held(Order.Key key, String id) {
        return desk.held(key, id);
    }

    void end() {
        desk.end();
    }
}
