package walkpost.lab.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.apache.commons.rng.sampling.distribution.AhrensDieterMarsagliaTsangGammaSampler;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.GeometricSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import walkpost.lab.scenario.Scenario.Act;

/** Draws plans. Each part has a stream of its own, named after what it draws. */
public final class Planner {
    private static final double US = 1e6;
    /** So many servers share the knowledge of keys, as at the operators' room. */
    private static final int CELL = 8;
    /** How rough a list's weight is: the true speed is varied by so much, evenly. */
    private static final double ROUGH = 0.15;
    private static final String[] IMPROPER = {
        "GET /api\r\n\r\n", "\u0000\u0001\u0002\u0003\r\n\r\n", "POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
        "GET /api HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK\r\n\r\n"};

    private final Scenario scenario;
    private final Streams streams;
    private final List<Plan.ClassDraw> classes = new ArrayList<>();
    private final List<Plan.Server> servers = new ArrayList<>();

    private Planner(Scenario scenario, long seed) {
        this.scenario = scenario;
        streams = new Streams(seed);
    }

    /** Draws the plan of a play. */
    public static Plan plan(Scenario scenario, long seed) {
        var planner = new Planner(scenario, seed);
        planner.drawClasses();
        planner.drawServers();
        List<Plan.PlannedFault> faults = planner.faults();
        return new Plan(seed, List.copyOf(planner.classes), List.copyOf(planner.servers), planner.arrivals(), faults,
                planner.peers());
    }

    /** Returns what a planned call says, with the ids of the servers that it names by number. */
    public static String line(Members.Call call, Plan plan) {
        return MembersReader.line(call, plan.servers());
    }

    private void drawClasses() {
        UniformRandomProvider random = streams.of("classes");
        for (Scenario.RequestClass c : scenario.classes()) {
            classes.add(new Plan.ClassDraw(c.name(), c.work().at(random.nextDouble()), c.waits().at(random.nextDouble()),
                    scenario.clients().patience().at(random.nextDouble())));
        }
    }

    private void drawServers() {
        UniformRandomProvider random = streams.of("servers");
        for (int kind = 0; kind < scenario.kinds().size(); kind++) {
            for (int i = 0; i < scenario.kinds().get(kind).count(); i++) {
                servers.add(server(random, servers.size(), kind, -1));
            }
        }
    }

    private Plan.Server server(UniformRandomProvider random, int place, int kind, int comes) {
        double speed = scenario.kinds().get(kind).speed().at(random.nextDouble());
        double rough = 1 + ROUGH * (2 * random.nextDouble() - 1);
        List<String> zones = scenario.fleet().zones();
        return new Plan.Server(String.format("s-%08x", random.nextInt()), place, kind, zones.get(place % zones.size()),
                place / CELL, speed, scenario.kinds().get(kind).cores() * speed * rough, comes);
    }

    /** Draws whom faults hit, and the servers that faults bring. */
    private List<Plan.PlannedFault> faults() {
        int atStart = scenario.servers();
        var faults = new ArrayList<Plan.PlannedFault>();
        for (int number = 0; number < scenario.faults().size(); number++) {
            Scenario.Fault fault = scenario.faults().get(number);
            UniformRandomProvider random = streams.of("fault " + number + " " + fault.act());
            List<Integer> hits = switch (fault.act()) {
                case KILL, TERM, STOP, HUP, ISOLATE, PART, LINK -> hits(random, fault.target(), scenario.count(fault.whom()));
                case SLOW, ERRORS, CUT, MUTE, RESET, DRAIN, RESTART -> hits(random, fault.target(), atStart);
                case JOIN -> newcomers(random, number, hits(random, fault.target(), atStart).size());
                case HEAVY, DISCOVERY, BURST, HOLD -> List.of();
            };
            if (fault.act() == Act.DRAIN && fault.backUs() >= 0) {
                for (int place : hits) {
                    servers.add(server(random, place, servers.get(place).kind(), number));
                }
            }
            faults.add(new Plan.PlannedFault(number, fault, hits));
        }
        return List.copyOf(faults);
    }

    private List<Integer> newcomers(UniformRandomProvider random, int fault, int count) {
        var hits = new ArrayList<Integer>();
        for (int i = 0; i < count; i++) {
            int place = 1 + servers.stream().mapToInt(Plan.Server::place).max().orElse(-1);
            hits.add(servers.size());
            servers.add(server(random, place, random.nextInt(scenario.kinds().size()), fault));
        }
        return List.copyOf(hits);
    }

    private static List<Integer> hits(UniformRandomProvider random, Scenario.Target target, int count) {
        if (!target.listed().isEmpty()) {
            return target.listed();
        }
        var all = new ArrayList<>(IntStream.range(0, count).boxed().toList());
        ListSampler.shuffle(random, all);
        return List.copyOf(all.subList(0, Math.max(1, (int) Math.round(target.share() * count))));
    }

    private List<Plan.Arrival> arrivals() {
        UniformRandomProvider times = streams.of("times");
        UniformRandomProvider kinds = streams.of("requests");
        UniformRandomProvider ids = streams.of("ids");
        Scenario.Load load = scenario.load();
        ContinuousSampler gap = ZigguratSampler.Exponential.of(times);
        SharedStateDiscreteSampler more = load.burst() > 1 ? GeometricSampler.of(times, 1 / load.burst()) : null;
        double most = load.rate() / load.burst() * (1 + load.swing()) * mostTimes();
        var arrivals = new ArrayList<Plan.Arrival>();
        double t = 0;
        while (true) {
            t += gap.sample() / most * US;
            if (t >= scenario.lengthUs()) {
                return List.copyOf(arrivals);
            }
            // Thinning (Lewis, Shedler 1979): the rate at t is a part of the highest.
            if (times.nextDouble() * most < rate((long) t) / load.burst()) {
                int together = more == null ? 1 : 1 + more.sample();
                for (int i = 0; i < together; i++) {
                    arrivals.add(arrival((long) t, kinds, ids));
                }
            }
        }
    }

    private double mostTimes() {
        return scenario.faults().stream().filter(f -> f.act() == Act.BURST).mapToDouble(f -> Math.max(1, f.times()))
                .reduce(1, (a, b) -> a * b);
    }

    private double rate(long t) {
        Scenario.Load load = scenario.load();
        double rate = load.rate() * (1 + load.swing() * Math.sin(2 * Math.PI * t / Math.max(1, load.swingUs())));
        rate *= load.rampUs() > 0 ? Math.min(1, (double) t / load.rampUs()) : 1;
        for (Scenario.Fault fault : scenario.faults()) {
            if (fault.act() == Act.BURST && t >= fault.when().atUs() && t < fault.when().atUs() + fault.lengthUs()) {
                rate *= fault.times();
            }
        }
        return rate;
    }

    private Plan.Arrival arrival(long due, UniformRandomProvider random, UniformRandomProvider ids) {
        int c = drawn(random.nextDouble(), scenario.classes().stream().mapToDouble(Scenario.RequestClass::share).toArray());
        int tenant = scenario.tenants().isEmpty() ? -1
                : drawn(random.nextDouble(), scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray());
        Scenario.RequestClass requestClass = scenario.classes().get(c);
        Plan.ClassDraw draw = classes.get(c);
        long work = Math.max(1, Math.round(draw.work() * varied(random, requestClass.variation())));
        long wait = Math.round(draw.waits() * varied(random, requestClass.variation()));
        double hint = scenario.clients().hint();
        long said = hint < 0 ? -1 : Math.max(1, Math.round(work * (1 + hint * (2 * random.nextDouble() - 1))));
        double luck = random.nextDouble();
        var tries = new ArrayList<Plan.Try>();
        long patience = Math.round(requestClass.deadlineUs() * draw.patience());
        for (int i = 0; i <= scenario.clients().retries(); i++) {
            tries.add(new Plan.Try(String.format("%016x", ids.nextLong()), patience, random.nextDouble(),
                    Math.round(scenario.clients().backoffUs() * (0.5 + random.nextDouble())),
                    random.nextDouble() < scenario.clients().obey()));
        }
        return new Plan.Arrival(due, c, tenant, work, wait, said, luck, String.format("%016x%016x", ids.nextLong(), ids.nextLong()),
                List.copyOf(tries));
    }

    /** Draws a factor with a mean of 1: gamma-distributed, so that a variation of 1 is the exponential distribution. */
    private static double varied(UniformRandomProvider random, double variation) {
        if (variation <= 0) {
            return 1;
        }
        double shape = 1 / (variation * variation);
        return AhrensDieterMarsagliaTsangGammaSampler.of(random, shape, 1 / shape).sample();
    }

    private static int drawn(double part, double... shares) {
        double left = part * java.util.Arrays.stream(shares).sum();
        for (int i = 0; i < shares.length; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    private List<Plan.Peer> peers() {
        UniformRandomProvider random = streams.of("peers");
        var peers = new ArrayList<Plan.Peer>();
        double rate = scenario.peers().silent() + scenario.peers().improper();
        if (rate > 0) {
            ContinuousSampler gap = ZigguratSampler.Exponential.of(random);
            for (double t = gap.sample() / rate * US; t < scenario.lengthUs(); t += gap.sample() / rate * US) {
                boolean silent = random.nextDouble() * rate < scenario.peers().silent();
                peers.add(new Plan.Peer((long) t, silent, random.nextDouble(),
                        silent ? "" : IMPROPER[random.nextInt(IMPROPER.length)]));
            }
        }
        return List.copyOf(peers);
    }
}
