package walkpost.lab.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Book;
import walkpost.lab.net.Door;
import walkpost.lab.net.Link;
import walkpost.lab.net.LinkHandler;
import walkpost.lab.net.Stage;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.server.TileServer.Job;

/**
 * A place where a tile server stands: one address for each proxy, and one machine at a time behind them. A machine that is
 * replaced leaves its place to the next. All calls are made on its event loop, which owns all of it.
 */
public final class TileServerStand {
    /** Whoever fails more than this is of no use to the oracle. */
    private static final double MOST_ERRORS = 0.1;

    private final Stage stage;
    private final EventLoop loop;
    private final int place;
    private final int firstProxy;
    private final List<Door> doors = new ArrayList<>();
    private final List<Link> links = new ArrayList<>();
    private final List<ServerConnection> connections = new ArrayList<>();
    private final Map<Job, ServerConnection> inHand = new LinkedHashMap<>();
    private Plan.Server server;
    private Scenario.Kind kind;
    private TileServer model;
    private boolean draining;
    private boolean warm;
    private boolean silentTowards;
    private boolean silentBack;
    private final Set<Integer> apart = new HashSet<>();
    private double slowness = 1;
    private double errors;
    private ScheduledFuture<?> wake;
    private long wakesAt = Long.MAX_VALUE;
    private long attempts;
    private long accepted;
    private long probes;

    /** Creates the place with its addresses, for so many proxies from the first one on, which refuse for now. */
    public TileServerStand(Stage stage, EventLoop loop, int place, int firstProxy, int proxies) {
        this.stage = stage;
        this.loop = loop;
        this.place = place;
        this.firstProxy = firstProxy;
        for (int of = firstProxy; of < firstProxy + proxies; of++) {
            Link link = stage.link();
            int proxy = of;
            links.add(link);
            doors.add(new Door(loop, host(proxy, place), channel -> admit(channel, proxy, link)));
        }
    }

    /** Returns the host at which a proxy reaches a place: one of its own in 127.0.0.0/8. */
    private static String host(int proxy, int place) {
        return "127." + (1 + proxy) + "." + (1 + place / 200) + "." + (1 + place % 200);
    }

    public EventLoop loop() {
        return loop;
    }

    /** Takes the addresses for good, so that they are known before any machine stands here, and lets them refuse. */
    public void reserve() {
        doors.forEach(Door::open);
        doors.forEach(Door::close);
    }

    /** Returns where a proxy reaches this place. */
    public InetSocketAddress address(int proxy) {
        return doors.get(proxy - firstProxy).address();
    }

    /** Starts a machine here; a cold one warms up from now on. */
    public void start(Plan.Server machine, boolean cold) {
        server = machine;
        kind = stage.scenario().kinds().get(machine.kind());
        Scenario.Rules rules = stage.scenario().rules();
        model = new TileServer(new TileServer.Machine(kind.cores(), machine.speed(), kind.slots(), kind.room(), kind.coldFrom(),
                kind.coldUs(), kind.cancel() == Scenario.Cancel.QUEUED, rules.fallMultiple(), rules.fallUs()), now(), cold,
                stage.loops().heart(place)::earlierUs);
        model.slowDown(now(), slowness);
        draining = false;
        warm = !cold;
        errors = kind.errors();
        note(cold ? Seen.State.COLD : Seen.State.UP);
        settleDoors();
        show();
    }

    /** Ends the machine: its connections are reset, and new ones refused. */
    public void stop() {
        if (model == null) {
            return;
        }
        note(Seen.State.DOWN);
        down();
    }

    private void down() {
        model = null;
        show();
        settleDoors();
        for (ServerConnection connection : List.copyOf(connections)) {
            connection.reset();
        }
        wakeAt(Long.MAX_VALUE);
    }

    /** Completes what it holds; all else is turned away. */
    public void drain() {
        draining = true;
        show();
        note(Seen.State.DRAINING);
    }

    /** Work takes so many times as long from now on. */
    public void slowDown(double times) {
        slowness = times;
        if (model != null) {
            model.slowDown(now(), times);
            settle();
        }
    }

    /** Fails such a share of requests from now on; below 0 the machine's own share. */
    public void fail(double share) {
        errors = share < 0 && kind != null ? kind.errors() : share;
    }

    /** Nothing passes to or from proxies any more, or only to them not; or all again. */
    public void silence(boolean towards, boolean back) {
        silentTowards = towards;
        silentBack = back;
        settleDoors();
        show();
    }

    /** Nothing passes between this place and one proxy any more, or all again. */
    public void silence(int proxy, boolean silent) {
        if (silent) {
            apart.add(proxy);
        } else {
            apart.remove(proxy);
        }
        settleDoor(proxy - firstProxy);
    }

    private void settleDoors() {
        for (int i = 0; i < doors.size(); i++) {
            settleDoor(i);
        }
    }

    /** Nobody hears whether a machine stands at a place that is cut off. */
    private void settleDoor(int i) {
        boolean off = apart.contains(firstProxy + i);
        links.get(i).silence(silentTowards || off, silentBack || off);
        if (silentTowards || off) {
            doors.get(i).deafen();
        } else if (model == null) {
            doors.get(i).close();
        } else {
            doors.get(i).open();
        }
    }

    /** Resets the connection at a part of the way through those open. */
    public void resetOne(double part) {
        if (!connections.isEmpty()) {
            connections.get((int) (part * connections.size())).reset();
        }
    }

    public Plan.Server server() {
        return server;
    }

    /** Notes what the machine here has done so far. */
    public void noteUse() {
        if (model != null) {
            model.advance(now());
            settle();
        }
        if (model != null) {
            stage.ledger().note(new Seen.Sampled(now(), server.id(), Math.round(model.servedUs()), model.inHand(), connections.size(),
                    accepted, probes));
        }
    }

    private void admit(SocketChannel channel, int proxy, Link link) {
        accepted++;
        var connection = new ServerConnection(this, channel, proxy, ((long) place << 32) + accepted, connections.size() >= kind.connections());
        connections.add(connection);
        channel.closeFuture().addListener(f -> connections.remove(connection));
        channel.pipeline().addLast(new LinkHandler(link, stage.clock()), new HttpServerCodec(), connection);
        connection.idleAfter(kind.idleUs());
    }

    /** Takes an attempt whose last byte has come. */
    void arrived(ServerConnection connection, long firstUs, String id, long content, boolean fresh) {
        Book.Sent request = stage.book().find(id);
        long attempt = ((long) place << 32) + ++attempts;
        stage.ledger().note(new Seen.Arrived(now(), firstUs, attempt, id, connection.proxy(), server.id(), connection.number(), content));
        // An id can be unknown only here by a proxy that made it up; the caller has looked.
        long work = request.workUs() + (fresh ? kind.handshakeUs() : 0);
        press(connection.proxy(), work);
        boolean fails = stage.streams().unit(id, server.id()) < errors;
        var job = new Job(id, work, request.waitUs(), fails);
        if (connection.over() || draining || !model.arrive(now(), job, work)) {
            connection.turnAway(attempt, id);
        } else {
            inHand.put(job, connection);
            connection.serving(job, attempt);
        }
        settle();
    }

    private void press(int proxy, long work) {
        if (!warm) {
            stage.ledger().note(new Seen.Pressed(now(), proxy, server.id(), work));
            if (model.warmth(now()) >= 1) {
                warm = true;
                note(Seen.State.WARM);
            }
        }
    }

    /** Answers a probe; returns whether probes are known here. */
    boolean probed(int proxy) {
        if (!stage.scenario().bounds().probes()) {
            return false;
        }
        probes++;
        press(proxy, kind.probeUs());
        model.spend(now(), kind.probeUs());
        settle();
        return true;
    }

    /** The proxy has hung up on an attempt. */
    void left(Job job) {
        if (inHand.remove(job) != null && model != null) {
            model.leave(now(), job);
            settle();
        }
    }

    /** Lets the model catch up, answers what has ended, and sees to it that the next end is not missed. */
    private void settle() {
        model.advance(now());
        for (TileServer.Finished finished : model.take()) {
            ServerConnection connection = inHand.remove(finished.job());
            if (connection != null) {
                connection.answer(finished.end() == TileServer.End.SERVED, stage.book().find(finished.job().id()).bodySize());
            }
        }
        if (model.fallen()) {
            note(Seen.State.FALLEN);
            inHand.clear();
            down();
        } else {
            wakeAt(model.nextUs());
            show();
        }
    }

    /** Shows the oracle what is true here; it serves nothing well where it drains, is cut off or fails many. */
    private void show() {
        boolean useful = model != null && !draining && !silentTowards && !silentBack && errors <= MOST_ERRORS;
        stage.board().put(place, server.id(), useful ? model.inHandUs() : 0, useful ? model.trueCapacity() : 0);
    }

    private void wakeAt(long at) {
        if (at == wakesAt) {
            return;
        }
        if (wake != null) {
            wake.cancel(false);
        }
        wakesAt = at;
        wake = at == Long.MAX_VALUE ? null : loop.schedule(() -> {
            wakesAt = Long.MAX_VALUE;
            wake = null;
            settle();
        }, Math.max(0, at - now()), TimeUnit.MICROSECONDS);
    }

    private void note(Seen.State state) {
        stage.ledger().note(new Seen.ServerIs(now(), server.id(), state));
    }

    Stage stage() {
        return stage;
    }

    long now() {
        return stage.clock().now();
    }

    boolean isDown() {
        return model == null;
    }

    /** Closes a channel so that its peer sees a reset. */
    static void reset(Channel channel) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.unsafe().close(channel.unsafe().voidPromise());
    }
}
