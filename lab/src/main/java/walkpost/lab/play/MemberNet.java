package walkpost.lab.play;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Loops;
import walkpost.lab.net.Stage;
import walkpost.lab.process.MemberFiles;
import walkpost.lab.process.Program;
import walkpost.lab.process.ProxyProcess;
import walkpost.lab.relay.Conditions;
import walkpost.lab.relay.Mesh;
import walkpost.lab.scenario.Between;
import walkpost.lab.scenario.Members;
import walkpost.lab.scenario.Plan.PlannedFault;

/**
 * What is between proxies that are members of each other, and what each finds at its start. Used by the play's thread; the mesh
 * belongs to its event loop.
 */
final class MemberNet {
    private static final int MOST_TRIES = 20;

    private final Stage stage;
    private final Members members;
    private final Conditions usual;
    /** Null where some processes vote: members reach those, and each other, without the lab between them. */
    private final Mesh mesh;
    /** Null where the proxies vote. */
    private final Sides sides;
    private final List<MemberFiles> files = new ArrayList<>();
    private final List<InetSocketAddress> doors = new ArrayList<>();
    private final Map<Integer, PlannedFault> going = new LinkedHashMap<>();
    private final Set<Integer> lived = new HashSet<>();
    private final Set<Integer> emptied = new HashSet<>();

    /**
     * Opens the mesh and writes what each member is told.
     *
     * @throws IOException if addresses can't be had or files not be written
     */
    MemberNet(Stage stage, Program program, List<ProxyProcess> proxies, Path folder) throws IOException {
        this.stage = stage;
        members = stage.scenario().fleet().members();
        usual = new Conditions(stage.scenario().network().latencyUs(), stage.scenario().network().jitterUs(), 0, 0, 0);
        var own = new ArrayList<InetSocketAddress>();
        var hosts = new ArrayList<String>();
        for (int member = 0; member < proxies.size(); member++) {
            own.add(free(host(member, 242)));
            doors.add(free(host(member, 241)));
            hosts.add(host(member, 243));
        }
        var random = stage.streams().of("fleet secret");
        String secret = String.format("%016x%016x", random.nextLong(), random.nextLong());
        for (ProxyProcess proxy : proxies) {
            files.add(new MemberFiles(members, proxy.folder()));
        }
        if (members.voters() > 0) {
            mesh = null;
            sides = new Sides(stage, program, proxies.size(), secret, folder);
            for (int member = 0; member < proxies.size(); member++) {
                tell(proxies.get(member), member, sides.write(member, files.get(member), own.get(member)));
            }
            return;
        }
        sides = null;
        var loop = stage.loops().of(1);
        mesh = new Mesh(loop, stage.clock(), stage.streams(), usual, own);
        List<InetSocketAddress> reached = Loops.on(loop, () -> {
            mesh.open(hosts);
            return IntStream.range(0, own.size()).mapToObj(mesh::address).toList();
        });
        for (int member = 0; member < proxies.size(); member++) {
            tell(proxies.get(member), member, files.get(member).write(member, own.get(member), reached, secret));
        }
    }

    private void tell(ProxyProcess proxy, int member, Path file) {
        InetSocketAddress door = doors.get(member);
        proxy.tell(Map.of(MemberFiles.VARIABLE, file.toString(), "PROXY_OPERATOR",
                door.getAddress().getHostAddress() + ":" + door.getPort()));
    }

    /** Returns the processes beside the proxies; null where there are none. */
    Sides sides() {
        return sides;
    }

    private static String host(int member, int part) {
        return "127." + (1 + member) + "." + part + ".1";
    }

    /** Returns an address that is free now, over TCP and UDP. */
    static InetSocketAddress free(String host) throws IOException {
        InetAddress address = InetAddress.getByName(host);
        IOException last = null;
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            try (var stream = new ServerSocket(0, 1, address); var datagram = new DatagramSocket(stream.getLocalPort(), address)) {
                return (InetSocketAddress) datagram.getLocalSocketAddress();
            } catch (IOException e) {
                last = e;
            }
        }
        throw last;
    }

    /** Returns where the proxies' doors are. */
    List<InetSocketAddress> doors() {
        return List.copyOf(doors);
    }

    /** Has a member's next life find no directory. */
    void empty(int member) {
        emptied.add(member);
    }

    /** Lays out what a member's next life finds. */
    void beforeLife(int member) throws IOException {
        boolean gone = files.get(member).settle(!emptied.remove(member));
        if (!lived.add(member) && gone) {
            stage.ledger().note(new Seen.CopyGone(stage.clock().now(), member));
        }
    }

    /** A fault between members begins. */
    void begin(PlannedFault fault) {
        going.put(fault.number(), fault);
        apply();
    }

    /** A fault between members ends; what others do there goes on. */
    void end(PlannedFault fault) {
        going.remove(fault.number());
        apply();
    }

    private void apply() {
        List<PlannedFault> now = List.copyOf(going.values());
        Loops.run(stage.loops().of(1), () -> {
            for (int from = 0; from < doors.size(); from++) {
                for (int to = 0; to < doors.size(); to++) {
                    if (from != to) {
                        apply(now, from, to);
                    }
                }
            }
        });
    }

    private void apply(List<PlannedFault> now, int from, int to) {
        List<Between> there = now.stream().filter(f -> f.fault().between().covers(f.hits(), from, to))
                .map(f -> f.fault().between()).toList();
        long latency = usual.latencyUs() + there.stream().mapToLong(Between::latencyUs).max().orElse(0);
        long jitter = usual.jitterUs() + there.stream().mapToLong(Between::jitterUs).max().orElse(0);
        double loss = there.stream().mapToDouble(Between::loss).max().orElse(0);
        double twice = there.stream().mapToDouble(Between::duplication).max().orElse(0);
        mesh.become(from, to, new Conditions(latency, jitter, 0, loss, twice));
        boolean silent = there.stream().anyMatch(Between::silent);
        if (mesh.silent(from, to) != silent) {
            mesh.silence(from, to, silent);
        }
    }

    /** Ends the mesh, with all that is under way. */
    void close() {
        if (sides != null) {
            sides.close();
        }
        if (mesh != null) {
            Loops.run(stage.loops().of(1), mesh::close);
        }
    }
}
