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
import walkpost.fleet.copy.Acting;
import walkpost.fleet.copy.Fact;
import walkpost.fleet.copy.Order;
import walkpost.fleet.member.Member;
import walkpost.fleet.member.Standing;
import walkpost.fleet.shell.Fleet;
import walkpost.fleet.shell.FleetHandle;
import walkpost.fleet.shell.FleetListener;

/**
 * The proxy as a member of the fleet. It hears of the fleet on the serving loop, obeys the exclusions that stand, and tells the others how
 * this proxy is. The owner of the membership, and the only class here that uses the fleet's: it is loaded where there is a fleet.
 */
final class FleetLink implements FleetSide, FleetListener {
    /** The topic of orders whose subject is a tile server. */
    static final String EXCLUSION = "exclusion";
    /** The topic of facts whose subject is the proxy that tells them. */
    static final String PROXY = "proxy";
    /** What a membership takes of the process's descriptors. */
    static final int MOST_DESCRIPTORS = Fleet.MOST_DESCRIPTORS;
    /** An order's id, in bytes. */
    static final int LONGEST_ORDER = 64;
    private static final String OUT = "{\"out\":true}";
    /** An order takes 2 s at most (docs/fleet.md); whoever has not heard of it by then is not to wait for ever. */
    private static final long LATE_MS = 2_800;
    private static final long TELL_MS = 1_000;
    /** At an upgrade the process before this one has the fleet's address until it ends; to try costs next to nothing. */
    private static final long TAKEN_MS = 500;

    /** Makes this process a member. */
    interface Opener {
        FleetHandle open() throws FleetException;
    }

    private final Log log = new Log("fleet");
    private final EventLoop loop;
    private final Clock clock;
    private final Exclusions exclusions;
    private final Supplier<Condition> condition;
    /** Why it is no member; counts where there is no handle. */
    private volatile String absent = "this proxy has not joined the fleet yet";
    private volatile FleetHandle handle;
    private Future<?> telling;
    private boolean closed;
    private Condition told;
    private long toldAt;

    private FleetLink(EventLoop loop, Clock clock, Exclusions exclusions, Supplier<Condition> condition) {
        this.loop = loop;
        this.clock = clock;
        this.exclusions = exclusions;
        this.condition = condition;
    }

    /** Returns what joins the fleet that a file describes. */
    static Opener opener(Path file, Map<String, String> environment) {
        return () -> Fleet.open(file, environment);
    }

    /**
     * Joins the fleet. Where another process serves in this place it may have the fleet's address and directory: then this one joins when
     * that has ended, and obeys until then what the other one keeps in the exclusions' folder.
     *
     * @throws Config.BadConfig with the fleet's own words, where its file is wrong or its address taken for good
     */
    static FleetSide join(Opener opener, boolean shared, EventLoop loop, Clock clock, Exclusions exclusions,
            Supplier<Condition> condition) throws Config.BadConfig {
        var link = new FleetLink(loop, clock, exclusions, condition);
        loop.execute(exclusions::start);
        try {
            link.joined(opener.open());
        } catch (FleetException e) {
            if (!shared || e instanceof FleetException.BadFile) {
                throw new Config.BadConfig(Surroundings.FLEET + ": " + e.getMessage());
            }
            link.joinLater(opener, e);
        }
        return link;
    }

    private void joinLater(Opener opener, FleetException why) {
        if (!why.getMessage().equals(absent)) {
            absent = why.getMessage();
            log.info("joins_later", "reason", absent);
        }
        // Not on the loop: to open takes files and sockets.
        loop.schedule(() -> CompletableFuture.runAsync(() -> joinNow(opener)), TAKEN_MS, TimeUnit.MILLISECONDS);
    }

    private void joinNow(Opener opener) {
        try {
            joined(opener.open());
        } catch (FleetException e) {
            joinLater(opener, e);
        } catch (RuntimeException e) {
            absent = e.toString();
            log.failure("not_joined", e);
        }
    }

    private void joined(FleetHandle opened) {
        synchronized (this) {
            if (!closed) {
                handle = opened;
                opened.listen(loop, this);
                telling = loop.scheduleWithFixedDelay(this::tell, 0, TELL_MS, TimeUnit.MILLISECONDS);
                return;
            }
        }
        opened.close();
    }

    @Override
    public void close() {
        FleetHandle open;
        synchronized (this) {
            closed = true;
            open = handle;
            handle = null;
            absent = "this proxy is ending and has left the fleet";
        }
        if (open != null) {
            telling.cancel(false);
            open.close();
        }
    }

    // What the fleet tells, on the loop

    @Override
    public void stands(Order.Key key, Acting acting) {
        if (!key.topic().equals(EXCLUSION)) {
            return;
        }
        Boolean out = out(acting);
        if (out == null) {
            log.warn("order_not_understood", "server", key.subject(), "payload", acting.payload());
        } else if (out != exclusions.standing().contains(key.subject())) {
            exclusions.obey(key.subject(), out);
        }
    }

    /** What this proxy kept from before, and no order stands for any more, is over once it is sure of that. */
    @Override
    public void level(boolean level) {
        FleetHandle fleet = handle;
        if (level && fleet != null) {
            Map<Order.Key, Acting> orders = fleet.orders();
            exclusions.standing().stream().filter(id -> {
                Acting acting = orders.get(new Order.Key(EXCLUSION, id));
                return acting == null || Boolean.FALSE.equals(out(acting));
            }).forEach(id -> exclusions.obey(id, false));
        }
    }

    @Override
    public void member(Member member) { }

    @Override
    public void fact(Fact fact) { }

    @Override
    public void stale(Fact.Key key) { }

    /** Returns whether a server is out; null where the order says something that this version does not know. */
    private static Boolean out(Acting acting) {
        if (acting.payload() == null) {
            return false;
        }
        JsonNode out = value(acting.payload()).path("out");
        return out.isBoolean() ? out.booleanValue() : null;
    }

    // What this proxy tells

    /** Tells how this proxy is, where that is news, or others hold what they were told to be half as old as it may be. */
    private void tell() {
        FleetHandle fleet = handle;
        Condition now = condition.get();
        if (fleet != null && (!now.equals(told) || clock.now() - toldAt >= fleet.boundUs(PROXY) / 2)) {
            told = now;
            toldAt = clock.now();
            fleet.tell(PROXY, fleet.name(), Config.JSON.valueToTree(now).toString());
        }
    }

    // Calls

    @Override
    public CompletionStage<String> fleet() {
        return answer(fleet -> {
            ObjectNode json = Config.JSON.createObjectNode().put("name", fleet.name()).put("level", fleet.level());
            ArrayNode members = json.putArray("members");
            fleet.members().stream().sorted(Comparator.comparing((Member m) -> m.life().name())).forEach(m -> members.addObject()
                    .put("name", m.life().name()).put("standing", m.standing().name()).put("incarnation", m.life().incarnation())
                    .put("address", m.address().toString()));
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
    public CompletionStage<String> orders() {
        return answer(fleet -> {
            ObjectNode json = Config.JSON.createObjectNode().put("level", fleet.level());
            ArrayNode orders = json.putArray("orders");
            fleet.orders().forEach((key, acting) -> {
                Order chosen = acting.chosen();
                ObjectNode order = orders.addObject().put("topic", key.topic()).put("subject", key.subject());
                order.set("payload", value(acting.payload()));
                order.put("id", chosen == null ? null : chosen.id()).put("version", chosen == null ? 0 : chosen.version());
                ArrayNode rivals = order.putArray("rivals");
                acting.rivals().forEach(rival -> rivals.add(rival.id()));
            });
            return json;
        });
    }

    @Override
    public CompletionStage<String> facts(String topic) {
        return asked(fleet -> fleet.facts(topic), (fleet, heard) -> {
            long boundUs = fleet.boundUs(topic);
            ObjectNode json = Config.JSON.createObjectNode().put("bound_ms", boundUs / 1_000);
            if (!fleet.voters().isEmpty()) {
                json.set("silent", Config.JSON.valueToTree(heard.silent()));
            }
            ArrayNode facts = json.putArray("facts");
            for (Fact fact : heard.facts()) {
                ObjectNode one = facts.addObject().put("subject", fact.key().subject()).put("writer", fact.key().writer());
                one.set("payload", value(fact.payload()));
                one.put("age_ms", fact.ageUs() / 1_000).put("stale", fact.ageUs() > boundUs);
            }
            return json;
        });
    }

    @Override
    public CompletionStage<String> held(String server, String id) {
        String wrong = wrong(server, id);
        if (wrong != null) {
            return CompletableFuture.completedFuture("FAILURE " + wrong);
        }
        return asked(fleet -> fleet.held(new Order.Key(EXCLUSION, server), id), (fleet, found) -> {
            ObjectNode json = Config.JSON.createObjectNode().put("held", found.held()).put("of", found.of());
            json.set("lacking", Config.JSON.valueToTree(found.lacking()));
            json.set("silent", Config.JSON.valueToTree(found.silent()));
            return json;
        });
    }

    @Override
    public CompletionStage<String> order(String server, boolean out, String id, String replaces) {
        FleetHandle fleet = handle;
        String wrong = fleet == null ? absent : wrong(server, id);
        if (wrong != null) {
            return CompletableFuture.completedFuture("FAILURE " + wrong);
        }
        var answer = new CompletableFuture<String>();
        Future<?> late = loop.schedule(() -> answer.complete("FAILURE " + uncertain(fleet, id).getMessage()), LATE_MS,
                TimeUnit.MILLISECONDS);
        fleet.order(new Order.Key(EXCLUSION, server), id, "-".equals(replaces) ? "" : replaces, out ? OUT : null)
                .whenComplete((order, e) -> {
                    late.cancel(false);
                    answer.complete(e != null ? failure(e) : "SUCCESS " + server + (out ? " is taken out" : " is given back")
                            + " on the fleet, order=" + order.id() + " version=" + order.version());
                });
        return answer;
    }

    private static String wrong(String server, String id) {
        if (bytes(server) > Exclusions.LONGEST_ID) {
            return "no tile server has an id of more than " + Exclusions.LONGEST_ID + " bytes";
        }
        return id.equals("-") || bytes(id) > LONGEST_ORDER
                ? "the order's own id is any word but '-', of up to " + LONGEST_ORDER + " bytes" : null;
    }

    private static int bytes(String word) {
        return word.getBytes(StandardCharsets.UTF_8).length;
    }

    /** The fleet itself answers within 2 s. Where it has not, nobody here knows whether the order is decided. */
    private static FleetException uncertain(FleetHandle fleet, String id) {
        List<String> missing = fleet.members().stream().filter(m -> m.standing() != Standing.ALIVE).map(m -> m.life().name()).toList();
        return new FleetException.Uncertain(id, missing.isEmpty() ? List.of("a majority, in " + LATE_MS + " ms") : missing);
    }

    private String failure(Throwable e) {
        Throwable cause = e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
        if (!(cause instanceof FleetException)) {
            log.failure("call_failed", cause);
        }
        return "FAILURE " + (cause instanceof FleetException ? cause.getMessage() : cause);
    }

    /** Answers with what a copy holds. Not on the loop: there may be ten thousand of everything. */
    private CompletionStage<String> answer(Function<FleetHandle, JsonNode> copy) {
        FleetHandle fleet = handle;
        return fleet == null ? CompletableFuture.completedFuture("FAILURE " + absent)
                : CompletableFuture.supplyAsync(() -> "SUCCESS " + copy.apply(fleet)).exceptionally(this::failure);
    }

    /** Answers with what others were asked. */
    private <T> CompletionStage<String> asked(Function<FleetHandle, CompletionStage<T>> question,
            BiFunction<FleetHandle, T, JsonNode> answer) {
        FleetHandle fleet = handle;
        return fleet == null ? CompletableFuture.completedFuture("FAILURE " + absent)
                : CompletableFuture.supplyAsync(() -> question.apply(fleet)).thenCompose(stage -> stage)
                        .thenApplyAsync(found -> "SUCCESS " + answer.apply(fleet, found)).exceptionally(this::failure);
    }

    /** Returns a payload as JSON; one that is none, from a faulty writer, as a text. */
    private static JsonNode value(String payload) {
        try {
            return payload == null ? Config.JSON.nullNode() : Config.JSON.readTree(payload);
        } catch (JsonProcessingException e) {
            return Config.JSON.getNodeFactory().textNode(payload);
        }
    }
}
