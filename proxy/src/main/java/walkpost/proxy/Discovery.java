package walkpost.proxy;

import walkpost.Balancer;
import walkpost.Balancer.ListKind;
import walkpost.proxy.ListVersion.Verdict;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Asks discovery for the list of backends. A watch is a row of long polls, each begun as soon as the last is answered. One that says
 * nothing is made again beside, as {@link ListClock} has it; when all fail the watch is over, the module is told, and it is the module
 * that asks again, later each time. An answer that was overtaken is not taken ({@link ListVersion}). It holds six descriptors at most: a
 * watch and a call for the whole list may be open at once, and each is made thrice.
 */
final class Discovery {
    private static final String PATH = "/v1/endpoints";
    /**
     * The first call is waited for so long; then the list of the last life will do. Where many proxies start at once,
     * discovery answers one after the other, and all that wait for it are missing to their clients.
     */
    static final long FIRST_ANSWER_MS = 300;
    private static final long NO_NEWS_MS = 50;
    private static final Map<String, Balancer.State> STATES = Map.of(
            "ready", Balancer.State.READY,
            "draining", Balancer.State.DRAINING,
            "gone", Balancer.State.GONE);

    private final EventLoop loop;
    private final Log log = new Log("discovery");
    private final Proxy proxy;
    private final ListRequest.Maker requests;
    private boolean pushed;
    private ListClock clock;
    private final SplittableRandom random;
    private InetSocketAddress address;
    private boolean wanted;
    private LongPoll watch;
    private LongPoll fetch;
    private ListVersion version = ListVersion.NONE;
    private boolean settled;
    private final RecallRule recall = new RecallRule();
    private final ServerStartTimes starts = new ServerStartTimes();

    Discovery(EventLoop loop, ChannelFactory<Channel> transport, Proxy proxy, InetSocketAddress address, Balancer.Settings settings) {
        this(loop, proxy, address, settings,
                (to, uri, connectMs, callback) -> new ListRequest(loop, transport, to, uri, connectMs, callback)::end);
    }

    Discovery(EventLoop loop, Proxy proxy, InetSocketAddress address, Balancer.Settings settings, ListRequest.Maker requests) {
        this.loop = loop;
        this.proxy = proxy;
        this.requests = requests;
        this.address = address;
        this.random = new SplittableRandom(settings.seed());
        take(settings);
    }

    /** Takes other settings over. Where lists are pushed from now on nobody else asks: a module that was to ask again need not any more. */
    void tune(Balancer.Settings settings) {
        take(settings);
        if (pushed) {
            watch(true);
        }
    }

    private void take(Balancer.Settings settings) {
        pushed = !settings.limits().listMustBeAsked();
        clock = new ListClock(pushed, settings.rules().askWithinUs() / 1_000);
    }

    /** Returns whether a first call has ended, or was waited for long enough, and the list is the best there is. */
    boolean settled() {
        return settled;
    }

    /** Takes in the list that this proxy had in its last life, if any; the module begins with this. */
    void known(JsonNode list) {
        if (list != null) {
            version = new ListVersion(version.life(), list.path("version").asLong(-1));
        }
        loop.schedule(() -> settled = true, FIRST_ANSWER_MS, TimeUnit.MILLISECONDS);
        proxy.members(ListKind.CACHED, list == null ? List.of() : entries(list));
        if (pushed) {
            watch(true);
        }
    }

    /** Begins the watch, or ends it. One that goes on already is left alone. */
    void watch(boolean on) {
        wanted = on;
        if (!on && watch != null) {
            watch.end();
            watch = null;
        } else if (on && watch == null) {
            // The first call does not wait: what was missed comes at once, or the news that there is none.
            watch = new LongPoll(true, 0);
        }
    }

    /**
     * Goes on at another address. The old one is about to hang up, so all that is asked there is ended and asked at the new one; this is
     * asked for the whole list, whatever the old one has told.
     */
    void moveTo(InetSocketAddress place) {
        if (place.equals(address)) {
            return;
        }
        address = place;
        version = version.forgotten();
        boolean on = wanted;
        watch(false);
        watch(on);
        if (fetch != null) {
            fetch();
        }
    }

    /** Asks for the whole list, once. One that is asked for already may be older than this wish, so it is asked for anew. */
    void fetch() {
        if (fetch != null) {
            fetch.end();
        }
        fetch = new LongPoll(false, 0);
    }

    private void failed(LongPoll poll, CallFailure failure) {
        settled = true;
        boolean watching = poll == watch;
        if (watching) {
            watch = null;
        } else {
            fetch = null;
        }
        failed();
        long againMs = watching ? recall.recallMs(failure, random.nextDouble()) : RecallRule.BACK_OFF;
        if (againMs != RecallRule.BACK_OFF) {
            loop.schedule(() -> watch(wanted), againMs, TimeUnit.MILLISECONDS);
        }
    }

    private void answered(LongPoll poll, ListVersion asked, JsonNode list, long tookMs) {
        settled = true;
        recall.answered();
        long number = list.path("version").asLong();
        boolean full = list.path("full").asBoolean();
        Verdict verdict = version.judge(asked, number, full);
        boolean news = verdict == Verdict.TAKE && (number > version.number() && !list.path("servers").isEmpty());
        if (verdict != Verdict.TAKE) {
            log.warn("list_out_of_order", "version", number, "full", full, "holding", version.number(), "verdict", verdict);
        }
        version = version.after(verdict, number);
        List<Backends.Listed> entries = entries(list);
        if (verdict == Verdict.TAKE && !full && entries.size() < list.path("servers").size()) {
            // A change was lost, such as a drain: only the whole list makes up for it.
            version = version.forgotten();
        }
        if (poll != watch) {
            fetch = null;
            if (verdict == Verdict.OVERTAKEN) {
                fetch();
            }
        } else if (news || tookMs >= poll.patience.waitMs() / 2 && verdict == Verdict.TAKE) {
            // Before the news is taken in: a watch is over 200 ms after its last answer.
            goOn(poll);
        } else {
            // One that answers at once without any news would be asked as fast as the CPU allows.
            loop.schedule(() -> goOn(poll), NO_NEWS_MS, TimeUnit.MILLISECONDS);
        }
        if (verdict == Verdict.TAKE || verdict == Verdict.TAKE_ANEW) {
            starts.listed(proxy.now());
            proxy.members(full ? ListKind.FULL : ListKind.DELTA, entries);
        }
    }

    private void goOn(LongPoll answered) {
        if (watch == answered) {
            // The whole list is there at once.
            watch = new LongPoll(true, version.held() ? clock.waitMs(answered.patience.waitMs() == 0, random.nextDouble()) : 0);
        }
    }

    /** Where the module has to ask, it decides when to ask again; an agent on the same machine is simply kept up. */
    private void failed() {
        if (pushed) {
            loop.schedule(() -> watch(wanted), clock.agentRetryMs(), TimeUnit.MILLISECONDS);
        } else {
            proxy.members(ListKind.FAILED, List.of());
        }
    }

    /** Returns the entries of a list that make sense. */
    private List<Backends.Listed> entries(JsonNode list) {
        var listed = new ArrayList<Backends.Listed>();
        long now = proxy.now();
        for (JsonNode entry : list.path("servers")) {
            starts.named(entry.path("started_ms").asLong(), now);
        }
        for (JsonNode entry : list.path("servers")) {
            Backends.Listed line = line(entry, now);
            if (line == null) {
                log.warn("entry_left_out", "reason", "malformed", "entry", entry);
            } else {
                listed.add(line);
            }
        }
        return listed;
    }

    private Backends.Listed line(JsonNode entry, long now) {
        Balancer.State state = STATES.get(entry.path("state").asText());
        InetSocketAddress address = Config.address(entry.path("addr").asText());
        String id = entry.path("id").asText();
        double weight = entry.path("weight").asDouble(1);
        if (state == null || address == null || id.isEmpty() || !(weight > 0) || Double.isInfinite(weight)) {
            return null;
        }
        return new Backends.Listed(new Balancer.Backend(id, state, entry.path("kind").asText(null),
                entry.path("zone").asText(null), entry.path("cell").asInt(),
                starts.localUs(id, entry.path("started_ms").asLong(), now), weight), address);
    }

    /** A call that may wait, and those made beside it while it says nothing: the first sound answer ends them all. */
    private final class LongPoll {
        private final boolean watching;
        private final ListClock.Patience patience;
        private final long beganNs = loop.ticker().nanoTime();
        private final List<Runnable> ends = new ArrayList<>(1);
        private final List<Future<?>> timers = new ArrayList<>(1);
        private int open;
        /** How many calls could not be made here, one after the other, and since when. */
        private int localFailures;
        private long localSinceNs;
        /** How many calls beside the first have failed and were made again. */
        private int replaced;
        private boolean ended;

        LongPoll(boolean watching, long waitMs) {
            this.watching = watching;
            patience = clock.patience(waitMs);
            patience.againMs().forEach(at -> later(at, () -> {
                log.warn("asked_again", "after_ms", at, "waiting_ms", waitMs);
                call(0);
            }));
            // Guards against a discovery that is cut off and says nothing, or whose answer never ends: TCP alone would never tell.
            later(patience.giveUpMs(), () -> fail(CallFailure.UNREACHABLE, "no answer in time"));
            call(waitMs);
        }

        private void later(long afterMs, Runnable what) {
            timers.add(loop.schedule(what, afterMs, TimeUnit.MILLISECONDS));
        }

        private void call(long waitMs) {
            boolean beside = open++ > 0;
            ListVersion asked = version;
            boolean changes = watching && asked.held();
            String uri = changes ? PATH + "?from=" + asked.number() + "&hold_ms=" + waitMs : PATH;
            ends.add(requests.make(address, uri, clock.connectMs(), new ListRequest.Callback() {
                @Override
                public void received(JsonNode list) {
                    if (!changes && !list.path("full").asBoolean()) {
                        failed(CallFailure.REJECTED, "the answer is no whole list");
                    } else if (!ended) {
                        end();
                        answered(LongPoll.this, asked, list, TimeUnit.NANOSECONDS.toMillis(loop.ticker().nanoTime() - beganNs));
                    }
                }

                @Override
                public void failed(CallFailure failure, String reason) {
                    callFailed(failure, reason, beside, waitMs);
                }
            }));
        }

        /** All is lost only if no other call is open; but the first, if it is overdue, is likely silent, and no help. */
        private void callFailed(CallFailure failure, String reason, boolean beside, long waitMs) {
            open--;
            long localRetryMs = failure == CallFailure.LOCAL ? localRetryMs() : RecallRule.BACK_OFF;
            if (localRetryMs != RecallRule.BACK_OFF) {
                log.warn("call_not_made", "reason", reason, "again_in_ms", localRetryMs);
                later(localRetryMs, () -> call(waitMs));
            } else if (open == 0) {
                fail(failure, reason);
            } else if (beside) {
                later(clock.replaceMs(replaced++, random.nextDouble()), () -> call(0));
            }
        }

        private long localRetryMs() {
            long now = loop.ticker().nanoTime();
            localSinceNs = localFailures == 0 ? now : localSinceNs;
            return RecallRule.localRetryMs(localFailures++, TimeUnit.NANOSECONDS.toMillis(now - localSinceNs));
        }

        private void fail(CallFailure failure, String reason) {
            if (!ended) {
                end();
                log.warn("call_failed", "kind", failure, "reason", reason, "version", version.number());
                Discovery.this.failed(this, failure);
            }
        }

        void end() {
            ended = true;
            timers.forEach(t -> t.cancel(false));
            ends.forEach(Runnable::run);
        }
    }
}
