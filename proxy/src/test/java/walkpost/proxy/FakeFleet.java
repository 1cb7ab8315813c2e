package walkpost.proxy;

import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.Standing;
import walkpost.fleet.shell.Coverage;
import walkpost.fleet.shell.FleetHandle;
import walkpost.fleet.shell.FleetListener;
import walkpost.fleet.shell.TopicEntries;

/** A fleet that is controlled by the test and records the calls on it. */
final class FakeFleet implements FleetHandle {
    /** An order that was issued, and the future that the test completes with its outcome. */
    record IssuedOrder(Order.Key key, String id, String replaces, String payload, CompletableFuture<Order> outcome) {
        void acknowledge(long version) {
            outcome.complete(new Order(key, id, version, List.of(), payload, null, new Life("n0", 1)));
        }
    }

    final BlockingQueue<IssuedOrder> issuedOrders = new LinkedBlockingQueue<>();
    /** Entries as topic, subject and payload. */
    final BlockingQueue<String> publishedEntries = new LinkedBlockingQueue<>();
    final List<Entry> entries = new CopyOnWriteArrayList<>();
    /** Queries for the coverage of an order, as topic, subject and order id. */
    final List<String> coverageQueries = new CopyOnWriteArrayList<>();
    final CompletableFuture<Coverage> coverage = new CompletableFuture<>();
    volatile List<String> silent = List.of();
    volatile List<String> voters = List.of();
    volatile List<String> feeds = List.of();
    volatile Map<String, Integer> lives = Map.of();
    volatile long controlAgeUs;
    final CompletableFuture<Void> closed = new CompletableFuture<>();
    private final Map<Order.Key, EffectiveOrder> orders = new ConcurrentHashMap<>();
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Consumer<Consumer<FleetListener>>> listener = new CompletableFuture<>();
    private final long boundUs;
    private volatile boolean caughtUp;

    FakeFleet(long boundUs) {
        this.boundUs = boundUs;
    }

    private void notifyListener(Consumer<FleetListener> notification) {
        listener.join().accept(notification);
    }

    /** Puts an order on a server in force and notifies the listener. */
    void putInForce(String server, String payload, String... rivalIds) {
        var key = new Order.Key("exclusion", server);
        var effectiveOrder = new EffectiveOrder(payload, order(key, payload, "o1"), List.of(rivalIds).stream()
                .map(id -> order(key, payload, id)).toList());
        orders.put(key, effectiveOrder);
        notifyListener(each -> each.effectiveOrderChanged(key, effectiveOrder));
    }

    private static Order order(Order.Key key, String payload, String id) {
        return new Order(key, id, 3, List.of(), payload, null, new Life("n1", 1));
    }

    void setCaughtUp(boolean isCaughtUp) {
        caughtUp = isCaughtUp;
        notifyListener(each -> each.caughtUpChanged(isCaughtUp));
    }

    /** Adds a member or replaces it, and notifies the listener if there is one. */
    void setMember(String name, Standing standing) {
        var member = new Member(new Life(name, 1), new Address("127.0.0.1", 7401), standing);
        members.removeIf(each -> each.life().name().equals(name));
        members.add(member);
        if (listener.isDone()) {
            notifyListener(each -> each.member(member));
        }
    }

    @Override
    public void listen(Executor executor, FleetListener newListener) {
        listener.complete(notification -> executor.execute(() -> notification.accept(newListener)));
    }

    @Override
    public void writeEntry(String topic, String subject, String payload) {
        publishedEntries.add(topic + " " + subject + " " + payload);
    }

    @Override
    public CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload) {
        var outcome = new CompletableFuture<Order>();
        issuedOrders.add(new IssuedOrder(key, id, replaces, payload, outcome));
        return outcome;
    }

    @Override
    public String name() {
        return "n0";
    }

    @Override
    public List<Member> members() {
        return List.copyOf(members);
    }

    @Override
    public boolean isCaughtUp() {
        return caughtUp;
    }

    @Override
    public Map<Order.Key, EffectiveOrder> orders() {
        return Map.copyOf(orders);
    }

    @Override
    public CompletionStage<TopicEntries> entries(String topic) {
        return CompletableFuture.completedFuture(
                new TopicEntries(entries.stream().filter(entry -> entry.key().topic().equals(topic)).toList(), silent));
    }

    @Override
    public CompletionStage<Coverage> held(Order.Key key, String id) {
        coverageQueries.add(key.topic() + " " + key.subject() + " " + id);
        return coverage;
    }

    @Override
    public long controlAgeUs() {
        return controlAgeUs;
    }

    @Override
    public Map<String, Integer> lives() {
        return lives;
    }

    @Override
    public List<String> voters() {
        return voters;
    }

    @Override
    public List<String> feeds() {
        return feeds;
    }

    @Override
    public long boundUs(String topic) {
        return boundUs;
    }

    @Override
    public Map<String, Long> counters() {
        return Map.of("sent", 7L);
    }

    @Override
    public void close() {
        closed.complete(null);
    }
}
