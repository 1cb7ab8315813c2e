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
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.Standing;
import walkpost.fleet.shell.Coverage;
import walkpost.fleet.shell.FactsHeard;
import walkpost.fleet.shell.FleetHandle;
import walkpost.fleet.shell.FleetListener;

/** A fleet that does as the test says and keeps what it was told. */
final class FakeFleet implements FleetHandle {
    /** An order that was given, and how it ends. */
    record Given(Order.Key key, String id, String replaces, String payload, CompletableFuture<Order> end) {
        void acknowledge(long version) {
            end.complete(new Order(key, id, version, List.of(), payload, null, new Life("n0", 1)));
        }
    }

    final BlockingQueue<Given> given = new LinkedBlockingQueue<>();
    final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    final List<Fact> facts = new CopyOnWriteArrayList<>();
    final List<String> asked = new CopyOnWriteArrayList<>();
    final CompletableFuture<Coverage> coverage = new CompletableFuture<>();
    volatile List<String> silent = List.of();
    volatile List<String> voters = List.of();
    volatile List<String> feeds = List.of();
    volatile Map<String, Integer> lives = Map.of();
    volatile long controlAgeUs;
    final CompletableFuture<Void> left = new CompletableFuture<>();
    private final Map<Order.Key, Acting> orders = new ConcurrentHashMap<>();
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private final CompletableFuture<Consumer<Consumer<FleetListener>>> listener = new CompletableFuture<>();
    private final long boundUs;
    private volatile boolean level;

    FakeFleet(long boundUs) {
        this.boundUs = boundUs;
    }

    private void say(Consumer<FleetListener> news) {
        listener.join().accept(news);
    }

    /** From now on this stands on a server. */
    void stands(String server, String payload, String... rivals) {
        var key = new Order.Key("exclusion", server);
        var acting = new Acting(payload, order(key, payload, "o1"), List.of(rivals).stream().map(id -> order(key, payload, id)).toList());
        orders.put(key, acting);
        say(l -> l.stands(key, acting));
    }

    private static Order order(Order.Key key, String payload, String id) {
        return new Order(key, id, 3, List.of(), payload, null, new Life("n1", 1));
    }

    void levels(boolean isLevel) {
        level = isLevel;
        say(l -> l.level(isLevel));
    }

    void member(String name, Standing standing) {
        var member = new Member(new Life(name, 1), new Address("127.0.0.1", 7401), standing);
        members.removeIf(m -> m.life().name().equals(name));
        members.add(member);
        if (listener.isDone()) {
            say(l -> l.member(member));
        }
    }

    @Override
    public void listen(Executor executor, FleetListener heard) {
        listener.complete(news -> executor.execute(() -> news.accept(heard)));
    }

    @Override
    public void tell(String topic, String subject, String payload) {
        told.add(topic + " " + subject + " " + payload);
    }

    @Override
    public CompletionStage<Order> order(Order.Key key, String id, String replaces, String payload) {
        var end = new CompletableFuture<Order>();
        given.add(new Given(key, id, replaces, payload, end));
        return end;
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
    public boolean level() {
        return level;
    }

    @Override
    public Map<Order.Key, Acting> orders() {
        return Map.copyOf(orders);
    }

    @Override
    public CompletionStage<FactsHeard> facts(String topic) {
        return CompletableFuture.completedFuture(new FactsHeard(facts.stream().filter(f -> f.key().topic().equals(topic)).toList(), silent));
    }

    @Override
    public CompletionStage<Coverage> held(Order.Key key, String id) {
        asked.add(key.topic() + " " + key.subject() + " " + id);
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
        left.complete(null);
    }
}
