package walkpost.proxy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Supplier;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.EffectiveOrder;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.Standing;
import walkpost.fleet.shell.Fleet;
import walkpost.fleet.shell.FleetHandle;
import walkpost.fleet.shell.FleetListener;

/**
 * Makes the proxy a member of the fleet: applies the exclusion orders in force, publishes the proxy's status to the other members, and
 * answers the operators' calls on the fleet. It owns the membership and is the only class of this package that uses the fleet module's
 * classes, so it is loaded only if a fleet is configured. The fleet's notifications arrive on the event loop; other methods may be called
 * on any thread.
 */
final class ProxyFleetMember implements FleetAccess, FleetListener {
    /** The topic of the orders that exclude a server, which is their subject. */
    static final String EXCLUSION_TOPIC = "exclusion";
    /** The topic of the entries with a proxy's status, whose subject is the proxy that writes them. */
    static final String PROXY_TOPIC = "proxy";
    /** The number of descriptors that a membership may use. */
    static final int MAX_DESCRIPTORS = Fleet.MOST_DESCRIPTORS;
    /** The maximum length of an order's id, in bytes. */
    static final int MAX_ORDER_ID_BYTES = 64;
    private static final String EXCLUDED_PAYLOAD = "{\"out\":true}";
    /** The fleet answers an order within 2 s; a caller whose order is still unanswered after this time gets a failure. */
    private static final long ORDER_TIMEOUT_MS = 2_800;
    private static final long STATUS_INTERVAL_MS = 1_000;
    /** During an upgrade the previous process has the fleet's address until it ends; an attempt to join costs almost nothing. */
    private static final long JOIN_RETRY_MS = 500;

    /** Joins the fleet with this process. */
    interface Opener {
        FleetHandle open() throws FleetException;
    }

    private final EventLog log = new EventLog("fleet");
    private final EventLoop loop;
    private final ProxyClock clock;
    private final ExclusionStore exclusions;
    private final Supplier<ProxyStatus> status;
    /** Why this proxy is not a member; used only while there is no handle. */
    private volatile String notMemberReason = "this proxy has not joined the fleet yet";
    private volatile FleetHandle handle;
    private Future<?> statusTimer;
    private boolean closed;
    private ProxyStatus publishedStatus;
    private long publishedAtUs;

    private ProxyFleetMember(EventLoop loop, ProxyClock clock, ExclusionStore exclusions, Supplier<ProxyStatus> status) {
        this.loop = loop;
        this.clock = clock;
        this.exclusions = exclusions;
        this.status = status;
    }

    /** Returns an opener that joins the fleet described in a file. */
    static Opener opener(Path file, Map<String, String> environment) {
        return () -> Fleet.open(file, environment);
    }

    /**
     * Joins the fleet. During an upgrade the previous process may still have the fleet's address and directory. This process then joins
     * when that one has ended, and until then applies the exclusions that it stores in the exclusions' directory.
     *
     * @param shared whether another process may serve at the same time, as during an upgrade
     * @throws Config.InvalidConfigException with the fleet's message, if its file is invalid or its address is in use by something else
     */
    static FleetAccess join(Opener opener, boolean shared, EventLoop loop, ProxyClock clock, ExclusionStore exclusions,
            Supplier<ProxyStatus> status) throws Config.InvalidConfigException {
        var member = new ProxyFleetMember(loop, clock, exclusions, status);
        loop.execute(exclusions::start);
        try {
            member.onJoined(opener.open());
        } catch (FleetException e) {
            if (!shared || e instanceof FleetException.BadFile) {
                throw new Config.InvalidConfigException(ProcessEnvironment.FLEET_VARIABLE + ": " + e.getMessage());
            }
            member.joinLater(opener, e);
        }
        return member;
    }

    private void joinLater(Opener opener, FleetException cause) {
        if (!cause.getMessage().equals(notMemberReason)) {
            notMemberReason = cause.getMessage();
            log.info("joins_later", "reason", notMemberReason);
        }
        // Joining opens files and sockets, so it does not run on the event loop.
        loop.schedule(() -> CompletableFuture.runAsync(() -> joinNow(opener)), JOIN_RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private void joinNow(Opener opener) {
        try {
            onJoined(opener.open());
        } catch (FleetException e) {
            joinLater(opener, e);
        } catch (RuntimeException e) {
            notMemberReason = e.toString();
            log.error("not_joined", e);
        }
    }

    private void onJoined(FleetHandle opened) {
        synchronized (this) {
            if (!closed) {
                handle = opened;
                opened.listen(loop, this);
                statusTimer = loop.scheduleWithFixedDelay(this::publishStatus, 0, STATUS_INTERVAL_MS, TimeUnit.MILLISECONDS);
                return;
            }
        }
        opened.close();
    }

    @Override
    public void close() {
        FleetHandle openHandle;
        synchronized (this) {
            closed = true;
            openHandle = handle;
            handle = null;
            notMemberReason = "this proxy is ending and has left the fleet";
        }
        if (openHandle != null) {
            statusTimer.cancel(false);
            openHandle.close();
        }
    }

    // Notifications of the fleet, on the event loop

    @Override
    public void effectiveOrderChanged(Order.Key key, EffectiveOrder effectiveOrder) {
        if (!key.topic().equals(EXCLUSION_TOPIC)) {
            return;
        }
        Boolean excluded = isExcluded(effectiveOrder);
        if (excluded == null) {
            log.warn("order_not_understood", "server", key.subject(), "payload", effectiveOrder.payload());
        } else if (excluded != exclusions.excludedIds().contains(key.subject())) {
            exclusions.apply(key.subject(), excluded);
        }
    }

    /** Once this member has caught up, includes each server that it had excluded and that no order in force excludes any more. */
    @Override
    public void caughtUpChanged(boolean caughtUp) {
        FleetHandle fleet = handle;
        if (caughtUp && fleet != null) {
            Map<Order.Key, EffectiveOrder> orders = fleet.orders();
            exclusions.excludedIds().stream().filter(id -> {
                EffectiveOrder effectiveOrder = orders.get(new Order.Key(EXCLUSION_TOPIC, id));
                return effectiveOrder == null || Boolean.FALSE.equals(isExcluded(effectiveOrder));
            }).forEach(id -> exclusions.apply(id, false));
        }
    }

    @Override
    public void member(Member member) { }

    @Override
    public void entryReceived(Entry entry) { }

    @Override
    public void stale(Entry.Key key) { }

    /** Returns whether the order in force excludes its server; null if its payload is unknown to this version of the program. */
    private static Boolean isExcluded(EffectiveOrder effectiveOrder) {
        if (effectiveOrder.payload() == null) {
            return false;
        }
        JsonNode out = parsePayload(effectiveOrder.payload()).path("out");
        return out.isBoolean() ? out.booleanValue() : null;
    }

    // The entry that this proxy publishes

    /** Publishes the proxy's status if it has changed, or if the published one has reached half of the topic's maximum age. */
    private void publishStatus() {
        FleetHandle fleet = handle;
        ProxyStatus currentStatus = status.get();
        if (fleet != null && (!currentStatus.equals(publishedStatus) || clock.nowUs() - publishedAtUs >= fleet.boundUs(PROXY_TOPIC) / 2)) {
            publishedStatus = currentStatus;
            publishedAtUs = clock.nowUs();
            fleet.writeEntry(PROXY_TOPIC, fleet.name(), Config.JSON.valueToTree(currentStatus).toString());
        }
    }

    // Calls of the operators

    @Override
    public CompletionStage<String> describeFleet() {
        return answerFromReplica(fleet -> {
            ObjectNode json = Config.JSON.createObjectNode().put("name", fleet.name()).put("level", fleet.isCaughtUp());
            ArrayNode members = json.putArray("members");
            fleet.members().stream().sorted(Comparator.comparing((Member member) -> member.life().name()))
                    .forEach(member -> members.addObject().put("name", member.life().name()).put("standing", member.standing().name())
                            .put("incarnation", member.life().incarnation()).put("address", member.address().toString()));
            if (!fleet.voters().isEmpty()) {
                long ageUs = fleet.controlAgeUs();
                json.set("voters", Config.JSON.valueToTree(fleet.voters()));
                json.set("feeds", Config.JSON.valueToTree(fleet.feeds()));
                json.set("lives", Config.JSON.valueToTree(fleet.lives()));
                json.put("control_age_ms", ageUs >= FleetHandle.NEVER_US ? null : (Long) (ageUs / 1_000));
            }
            json.set("counters", Config.JSON.valueToTree(fleet.counters()));
            return json;
        });
    }

    @Override
    public CompletionStage<String> describeOrders() {
        return answerFromReplica(fleet -> {
            ObjectNode json = Config.JSON.createObjectNode().put("level", fleet.isCaughtUp());
            ArrayNode orders = json.putArray("orders");
            fleet.orders().forEach((key, effectiveOrder) -> {
                Order chosen = effectiveOrder.chosen();
                ObjectNode order = orders.addObject().put("topic", key.topic()).put("subject", key.subject());
                order.set("payload", parsePayload(effectiveOrder.payload()));
                order.put("id", chosen == null ? null : chosen.id()).put("version", chosen == null ? 0 : chosen.version());
                ArrayNode rivals = order.putArray("rivals");
                effectiveOrder.rivals().forEach(rival -> rivals.add(rival.id()));
            });
            return json;
        });
    }

    @Override
    public CompletionStage<String> describeEntries(String topic) {
        return answerFromMembers(fleet -> fleet.entries(topic), (fleet, found) -> {
            long boundUs = fleet.boundUs(topic);
            ObjectNode json = Config.JSON.createObjectNode().put("bound_ms", boundUs / 1_000);
            if (!fleet.voters().isEmpty()) {
                json.set("silent", Config.JSON.valueToTree(found.silent()));
            }
            ArrayNode entries = json.putArray("facts");
            for (Entry entry : found.entries()) {
                ObjectNode entryJson = entries.addObject().put("subject", entry.key().subject()).put("writer", entry.key().writer());
                entryJson.set("payload", parsePayload(entry.payload()));
                entryJson.put("age_ms", entry.ageUs() / 1_000).put("stale", entry.ageUs() > boundUs);
            }
            return json;
        });
    }

    @Override
    public CompletionStage<String> describeOrderCoverage(String server, String orderId) {
        String invalid = invalidArgument(server, orderId);
        if (invalid != null) {
            return CompletableFuture.completedFuture("FAILURE " + invalid);
        }
        return answerFromMembers(fleet -> fleet.held(new Order.Key(EXCLUSION_TOPIC, server), orderId), (fleet, found) -> {
            ObjectNode json = Config.JSON.createObjectNode().put("held", found.held()).put("of", found.of());
            json.set("lacking", Config.JSON.valueToTree(found.lacking()));
            json.set("silent", Config.JSON.valueToTree(found.silent()));
            return json;
        });
    }

    @Override
    public CompletionStage<String> issueOrder(String server, boolean exclude, String orderId, String replaces) {
        FleetHandle fleet = handle;
        String failure = fleet == null ? notMemberReason : invalidArgument(server, orderId);
        if (failure != null) {
            return CompletableFuture.completedFuture("FAILURE " + failure);
        }
        var answer = new CompletableFuture<String>();
        Future<?> timeout = loop.schedule(() -> answer.complete("FAILURE " + uncertain(fleet, orderId).getMessage()), ORDER_TIMEOUT_MS,
                TimeUnit.MILLISECONDS);
        fleet.order(new Order.Key(EXCLUSION_TOPIC, server), orderId, "-".equals(replaces) ? "" : replaces,
                        exclude ? EXCLUDED_PAYLOAD : null)
                .whenComplete((order, error) -> {
                    timeout.cancel(false);
                    answer.complete(error != null ? failureAnswer(error)
                            : "SUCCESS " + server + (exclude ? " is taken out" : " is given back") + " on the fleet, order="
                            + order.id() + " version=" + order.version());
                });
        return answer;
    }

    /** Returns why the arguments of a call are invalid, or null if they are valid. */
    private static String invalidArgument(String server, String orderId) {
        if (lengthInBytes(server) > ExclusionStore.MAX_ID_BYTES) {
            return "no tile server has an id of more than " + ExclusionStore.MAX_ID_BYTES + " bytes";
        }
        return orderId.equals("-") || lengthInBytes(orderId) > MAX_ORDER_ID_BYTES
                ? "the order's own id is any word but '-', of up to " + MAX_ORDER_ID_BYTES + " bytes" : null;
    }

    private static int lengthInBytes(String word) {
        return word.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Returns the failure of an order that the fleet has not answered within its 2 s, so that this proxy cannot know if it is decided. */
    private static FleetException uncertain(FleetHandle fleet, String orderId) {
        List<String> missing = fleet.members().stream().filter(member -> member.standing() != Standing.ALIVE)
                .map(member -> member.life().name()).toList();
        return new FleetException.Uncertain(orderId,
                missing.isEmpty() ? List.of("a majority, in " + ORDER_TIMEOUT_MS + " ms") : missing);
    }

    private String failureAnswer(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        if (!(cause instanceof FleetException)) {
            log.error("call_failed", cause);
        }
        return "FAILURE " + (cause instanceof FleetException ? cause.getMessage() : cause);
    }

    /** Answers a call from this member's replica; off the event loop, because there may be ten thousand members, orders or entries. */
    private CompletionStage<String> answerFromReplica(Function<FleetHandle, JsonNode> answer) {
        FleetHandle fleet = handle;
        return fleet == null ? CompletableFuture.completedFuture("FAILURE " + notMemberReason)
                : CompletableFuture.supplyAsync(() -> "SUCCESS " + answer.apply(fleet)).exceptionally(this::failureAnswer);
    }

    /** Answers a call for which other members may have to be queried; runs off the event loop for the same reason. */
    private <T> CompletionStage<String> answerFromMembers(Function<FleetHandle, CompletionStage<T>> query,
            BiFunction<FleetHandle, T, JsonNode> answer) {
        FleetHandle fleet = handle;
        return fleet == null ? CompletableFuture.completedFuture("FAILURE " + notMemberReason)
                : CompletableFuture.supplyAsync(() -> query.apply(fleet)).thenCompose(stage -> stage)
                        .thenApplyAsync(found -> "SUCCESS " + answer.apply(fleet, found)).exceptionally(this::failureAnswer);
    }

    /** Parses a payload as JSON; returns it as a text node if a faulty writer has published something else. */
    private static JsonNode parsePayload(String payload) {
        try {
            return payload == null ? Config.JSON.nullNode() : Config.JSON.readTree(payload);
        } catch (JsonProcessingException e) {
            return Config.JSON.getNodeFactory().textNode(payload);
        }
    }
}
