package walkpost.lab.play;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import walkpost.lab.client.Clients;
import walkpost.lab.client.Front;
import walkpost.lab.client.ReadyWatch;
import walkpost.lab.discovery.DiscoveryStand;
import walkpost.lab.discovery.Entry;
import walkpost.lab.net.Loops;
import walkpost.lab.net.Stage;
import walkpost.lab.process.Program;
import walkpost.lab.process.ProxyProcess;
import walkpost.lab.process.ProxySettings;
import walkpost.lab.scenario.Plan;
import walkpost.lab.scenario.Scenario;
import walkpost.lab.server.TileServerStand;

/** All parties of one play: tile servers, discovery, proxies, the front and the clients. Used by the play's thread. */
final class Fleet implements Closeable {
    private final Stage stage;
    private final Program other;
    private final List<TileServerStand> stands = new ArrayList<>();
    private final DiscoveryStand discovery;
    private final List<ProxyProcess> proxies = new ArrayList<>();
    private final List<ObjectNode> known = new ArrayList<>();
    private final List<ReadyWatch> watches = new ArrayList<>();
    private final Front front;
    private final Clients clients;
    /** Null where proxies are no members of each other. */
    private final MemberNet net;
    private final Doors doors;
    private long lives;

    /**
     * Puts the fleet together; tile servers and discovery are there, proxies are not started yet.
     *
     * @param program null for none: clients then send straight to the tile servers, as many pools as there are places
     * @param other what faults bring in; null for nothing
     */
    Fleet(Stage stage, Program program, Program other, Path folder) throws IOException {
        this.stage = stage;
        this.other = other;
        boolean direct = program == null;
        int count = direct ? 0 : stage.scenario().fleet().proxies();
        int places = 1 + stage.plan().servers().stream().mapToInt(Plan.Server::place).max().orElse(0);
        for (int place = 0; place < places; place++) {
            var stand = new TileServerStand(stage, stage.loops().of(place), place, direct ? place : 0, direct ? 1 : count);
            Loops.run(stand.loop(), stand::reserve);
            stands.add(stand);
        }
        var loop = stage.loops().of(0);
        discovery = new DiscoveryStand(stage, loop, count, (proxy, place) -> stands.get(place).address(proxy));
        var entries = new ArrayList<Entry>();
        for (Plan.Server server : stage.plan().servers()) {
            if (server.comes() < 0) {
                on(server.place(), stand -> stand.start(server, false));
                entries.add(entry(server, 0));
            }
        }
        Loops.run(loop, () -> discovery.begin(entries));
        front = new Front(direct ? places : count, stage.scenario().front().noticeUs());
        for (int number = 0; number < count; number++) {
            var proxy = new ProxyProcess(stage, program, number, folder);
            proxies.add(proxy);
            int of = number;
            known.add(Loops.on(loop, () -> discovery.known(of)));
            watches.add(new ReadyWatch(stage, front, number, proxy.address()));
        }
        net = direct || stage.scenario().fleet().members() == null ? null : new MemberNet(stage, program, proxies, folder);
        doors = net == null ? null : new Doors(stage, net.doors(), proxy -> proxies.get(proxy).alive());
        var addresses = new ArrayList<>(proxies.stream().map(ProxyProcess::address).toList());
        for (int place = 0; direct && place < places; place++) {
            addresses.add(stands.get(place).address(place));
            front.asked(0, place, true);
        }
        clients = new Clients(stage, front, addresses);
    }

    /** Returns a server's line of the list. */
    Entry entry(Plan.Server server, long startedMs) {
        return new Entry(server.id(), server.place(), server.zone(), stage.scenario().kinds().get(server.kind()).name(), server.cell(),
                Entry.State.READY, server.weight(), startedMs);
    }

    /** Starts a proxy: with the list as the fleet had it at the play's beginning, and a seed that no life before had. */
    void start(int proxy) {
        InetSocketAddress listen = proxies.get(proxy).address();
        try {
            if (net != null) {
                net.beforeLife(proxy);
            }
            proxies.get(proxy).start(seed -> ProxySettings.of(stage.scenario(), proxy, listen, discovery.address(proxy),
                    known.get(proxy), seed), stage.streams().of("life " + lives++ + " of proxy " + proxy).nextLong());
        } catch (IOException e) {
            throw new UncheckedIOException("proxy " + proxy + " can't be started", e);
        }
    }

    /** Has a proxy start as the other program from now on. */
    void becomeOther(int proxy) {
        proxies.get(proxy).become(other);
    }

    /** Returns what is between members; null where there are none. */
    MemberNet net() {
        return net;
    }

    /** Returns the processes beside the proxies; null where there are none. */
    Sides sides() {
        return net == null ? null : net.sides();
    }

    /** Begins to ask at the doors of members, and to make the calls that are planned. */
    void call(Timeline timeline) {
        if (doors != null) {
            doors.begin(timeline);
        }
    }

    /** Begins to ask the proxies whether they are ready. */
    void watch() {
        watches.forEach(ReadyWatch::start);
    }

    /** Does something to a place, on the loop that owns it. */
    void on(int place, Consumer<TileServerStand> what) {
        TileServerStand stand = stands.get(place);
        Loops.run(stand.loop(), () -> what.accept(stand));
    }

    /** Does something to discovery, on the loop that owns it. */
    void onDiscovery(Consumer<DiscoveryStand> what) {
        Loops.run(discovery.loop(), () -> what.accept(discovery));
    }

    /** Lets nothing pass between a proxy and some parties, or all again. */
    void isolate(int proxy, List<Scenario.Party> from, boolean silent) {
        if (from.contains(Scenario.Party.SERVERS)) {
            for (int place = 0; place < stands.size(); place++) {
                on(place, stand -> stand.silence(proxy, silent));
            }
        }
        if (from.contains(Scenario.Party.DISCOVERY)) {
            onDiscovery(d -> d.silence(proxy, silent));
        }
        if (from.contains(Scenario.Party.CLIENTS)) {
            clients.silence(proxy, silent);
            watches.get(proxy).silence(silent);
        }
    }

    /** Notes what everybody has used. */
    void noteUse() {
        proxies.forEach(ProxyProcess::noteUse);
        if (sides() != null) {
            sides().listen();
            sides().noteUse();
        }
        stands.forEach(stand -> stand.loop().execute(stand::noteUse));
    }

    List<ProxyProcess> proxies() {
        return proxies;
    }

    Front front() {
        return front;
    }

    Clients clients() {
        return clients;
    }

    /** Ends all processes; one that stands still ends as well. */
    @Override
    public void close() {
        watches.forEach(ReadyWatch::stop);
        if (net != null) {
            doors.stop();
        }
        proxies.forEach(ProxyProcess::kill);
        if (net != null) {
            net.close();
        }
    }
}
