package walkpost.fleet.shell;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import walkpost.fleet.FleetException;
import walkpost.fleet.FleetException.NotLevel;
import walkpost.fleet.FleetException.Uncertain;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardEvent;
import walkpost.fleet.member.Life;

/** An observer: no shards, no directory, no vote. */
final class ObservingPart implements Part {
    private static final int END_S = 2;

    private final FleetFile file;
    private final Counters counters;
    private final Workers workers;
    private final Callers callers = new Callers();
    private final ObserverLane lane;
    private volatile boolean closed;

    ObservingPart(FleetFile file, Life self, Counters counters, Workers workers, Sender sender, long seed) {
        this.file = file;
        this.counters = counters;
        this.workers = workers;
        lane = new ObserverLane(file, self, Clock.MONOTONIC, counters, workers, sender, callers, seed);
    }

    @Override
    public void start() { }

    @Override
    public void tick() {
        lane.tick();
        callers.tick(this::uncertain);
    }

    @Override
    public void peers(ShardEvent.LivePeers now) {
        lane.peers(now);
    }

    @Override
    public void received(Envelope envelope, int length) {
        if (envelope.observe() == null) {
            counters.dropped("no_shards");
        } else {
            lane.received(envelope.from().name(), envelope.observe(), length);
        }
    }

    @Override
    public void listen(Outlet outlet) {
        lane.listen(outlet);
    }

    @Override
    public void writeEntry(String topic, String subject, String payload) {
        lane.tell(topic, subject, payload);
    }

    @Override
    public CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload) {
        if (closed) {
            return CompletableFuture.failedFuture(new NotLevel(file.name(), 0, 1));
        }
        CompletableFuture<Order> answer = callers.add(id);
        lane.propose(key, id, replaces, payload);
        if (closed) {
            callers.end(this::uncertain);
        }
        return answer;
    }

    private FleetException uncertain(String id) {
        return new Uncertain(id, file.voters());
    }

    @Override
    public boolean isCaughtUp() {
        return lane.level();
    }

    @Override
    public Map<Order.Key, EffectiveOrder> orders() {
        return lane.orders();
    }

    @Override
    public CompletionStage<TopicEntries> entries(String topic) {
        return lane.entries(topic);
    }

    @Override
    public CompletionStage<Coverage> held(Order.Key key, String id) {
        return lane.held(key, id);
    }

    @Override
    public long controlAgeUs() {
        return lane.controlAgeUs();
    }

    @Override
    public Map<String, Integer> lives() {
        return lane.lives();
    }

    @Override
    public List<String> feeds() {
        return lane.feeds();
    }

    @Override
    public Map<String, Long> figures() {
        return lane.figures();
    }

    @Override
    public void close() {
        closed = true;
        try {
            workers.end(END_S);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void end() {
        callers.end(this::uncertain);
        lane.end();
    }
}
