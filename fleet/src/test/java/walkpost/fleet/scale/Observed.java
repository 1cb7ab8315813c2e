package walkpost.fleet.scale;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import walkpost.fleet.scale.World.Plan;

/** Fleets of few voters and many observers: ordinary days at some multiple of their events, and troubles with orders all the while. */
final class Observed {
    /** What happens on a day, of a fleet of 590. */
    private static final double FAILURES_A_DAY = 12;
    private static final double RESTARTS_A_DAY = 670;
    private static final double ORDERS_A_DAY = 750;
    private static final double DAY_S = 86_400;
    private static final long REPAIR_US = 60 * Agenda.S;
    private static final long RESTART_US = 2 * Agenda.S;
    private static final long PATIENCE_US = 120 * Agenda.S;
    /** Until the news of a start are told out: some two minutes among 600. */
    private static final int SETTLE_S = 120;
    /** Orders are looked at half a minute after their call. */
    private static final long LOOK_US = 31 * Agenda.S;
    private static final double TROUBLED_ORDERS_A_SECOND = 0.5;

    private final Options options;
    private final PrintStream print;
    private final StringBuilder orderRows = new StringBuilder(Orders.HEAD).append('\n');
    private final StringBuilder recoveryRows = new StringBuilder(Recovery.HEAD).append('\n');
    private final StringBuilder notes = new StringBuilder();
    private final StringBuilder types = new StringBuilder();
    private World world;
    private Operators operators;

    Observed(Options options, PrintStream print) {
        this.options = options;
        this.print = print;
    }

    void run() {
        for (int observers : options.numbers("observers", "590")) {
            int voters = options.number("voters", 9);
            long startNs = System.nanoTime();
            print.println("\n" + options.scenario() + ", " + voters + " voters and " + observers + " observers, directories "
                    + options.flag("directories", true) + ", loss " + options.share("loss", 0.001) + ", a fact each "
                    + options.share("tells", 1) + " s, seed " + options.number("seed", 1) + "\n");
            print.println(Window.HEAD);
            begin(voters, observers);
            play();
            print.println("\n" + orderRows + "\n" + recoveryRows + "\n" + notes);
            print.println("heap " + Figures.number(Heap.usedKb() / 1e3) + " MB, " + Figures.number(Heap.usedKb() / world.hosts().size())
                    + " KB a member; " + Figures.number((System.nanoTime() - startNs) / 1e9) + " s for "
                    + Figures.number(world.nowUs() / 1e6) + " s of virtual time; " + world.agenda().planned() + " events; fingerprint "
                    + Long.toHexString(world.traffic().fingerprint()));
            if (options.flag("types", false)) {
                print.println(types);
            }
            for (StringBuilder each : List.of(notes, types)) {
                each.setLength(0);
            }
            orderRows.setLength(Orders.HEAD.length() + 1);
            recoveryRows.setLength(Recovery.HEAD.length() + 1);
        }
    }

    private void begin(int voters, int observers) {
        world = new World(new Plan(voters, observers, options.flag("directories", true), options.share("loss", 0.001),
                options.number("seed", 1), 1_800));
        operators = new Operators(world, host -> !host.voter());
        world.start(world.hosts().stream().filter(Host::voter).toList(), Agenda.S / 2);
        world.start(world.hosts().stream().filter(host -> !host.voter()).toList(), 10 * Agenda.S);
        recovered("the first start, spread over 10 s", host -> true);
        new Writers(world, (long) (options.share("tells", 1) * Agenda.S)).start(world.hosts().stream().filter(host -> !host.voter()).toList());
        world.agenda().play(options.number("settle", SETTLE_S) * Agenda.S);
    }

    private void play() {
        switch (options.scenario()) {
            case "ordinary" -> ordinary();
            case "voter-dead" -> dead(List.of(world.hosts().get(0)));
            case "four-dead" -> dead(world.hosts().subList(0, 4));
            case "zone-lost" -> dead(world.hosts().stream().filter(host -> host.zone() == World.ZONES - 1).toList());
            case "region-cut" -> cut();
            case "restart-all" -> gone(world.hosts(), 0);
            case "voters-killed" -> gone(world.hosts().stream().filter(Host::voter).toList(), 30 * Agenda.S);
            default -> throw new IllegalArgumentException("no scenario " + options.scenario());
        }
    }

    /** Machines fail, proxies are restarted and operators give orders, at random and so many times as often as on a day. */
    private void ordinary() {
        double rate = options.share("rate", 1);
        repeat(FAILURES_A_DAY * rate / DAY_S, () -> {
            Host host = world.any(world.running(each -> true));
            host.kill();
            world.agenda().after(REPAIR_US, host::start);
        });
        repeat(RESTARTS_A_DAY * rate / DAY_S, () -> {
            Host host = world.any(world.running(each -> true));
            host.stop();
            world.agenda().after(RESTART_US, host::start);
        });
        operators.start(ORDERS_A_DAY * rate / DAY_S);
        measured("ordinary x " + Figures.number(rate), options.number("seconds", 600));
        operators.stop();
        world.agenda().play(LOOK_US);
        orders("ordinary x " + Figures.number(rate), 0);
    }

    private void repeat(double perSecond, Runnable what) {
        world.agenda().after(world.agenda().untilNext(perSecond), () -> {
            what.run();
            repeat(perSecond, what);
        });
    }

    /** Some die, for a minute, and come back. */
    private void dead(List<Host> hosts) {
        before();
        hosts.forEach(Host::kill);
        during(60, host -> !hosts.contains(host));
        world.start(hosts, 5 * Agenda.S);
        after("those that died are back", host -> true);
    }

    /** The last region is cut off for a minute. */
    private void cut() {
        before();
        int region = World.REGIONS - 1;
        world.cut(region);
        during(60, host -> host.region() != region);
        notes.append("cut off and level at the end of the cut: ")
                .append(world.running(host -> host.region() == region && host.process().level()).size()).append(" of ")
                .append(world.running(host -> host.region() == region).size()).append("\n");
        world.heal();
        after("the cut is healed, the region that was cut off", host -> host.region() == region);
    }

    /** Some are killed all at once, and start again within a second. */
    private void gone(List<Host> hosts, long awayUs) {
        before();
        hosts.forEach(Host::kill);
        if (awayUs > 0) {
            during((int) (awayUs / Agenda.S), host -> !hosts.contains(host));
        }
        world.start(hosts, Agenda.S);
        after("all killed start again", host -> true);
    }

    private void before() {
        operators.start(TROUBLED_ORDERS_A_SECOND);
        measured("before", 30);
    }

    private void during(int seconds, Predicate<Host> left) {
        long fromUs = world.nowUs();
        if (world.running(left).size() > 0) {
            measured("in trouble", seconds, left);
        }
        long toUs = world.nowUs();
        world.agenda().after(LOOK_US, () -> orderRows.append(world.orders().row("in trouble", fromUs, toUs)).append('\n'));
    }

    private void after(String what, Predicate<Host> of) {
        Window window = new Window(world);
        long fromUs = world.nowUs();
        recovered(what, of);
        long spentUs = world.nowUs() - fromUs;
        world.agenda().play(Math.max(0, 60 * Agenda.S - spentUs));
        rows("from the mend on", window.end(), host -> true);
        operators.stop();
        long toUs = world.nowUs();
        world.agenda().play(LOOK_US);
        orderRows.append(world.orders().row("from the mend on", fromUs, toUs)).append('\n');
        orders("all", 0);
    }

    private void measured(String name, int seconds) {
        measured(name, seconds, host -> true);
    }

    private void measured(String name, int seconds, Predicate<Host> who) {
        Window window = new Window(world);
        long fromUs = world.nowUs();
        world.agenda().play(seconds * Agenda.S);
        rows(name, window.end(), who);
        long toUs = world.nowUs();
        if (name.equals("before")) {
            world.agenda().after(LOOK_US, () -> orderRows.append(world.orders().row(name, fromUs, toUs)).append('\n'));
        }
    }

    private void rows(String name, Window window, Predicate<Host> who) {
        print.println(window.row(name + ", observers", who.and(host -> !host.voter())));
        if (world.hosts().stream().anyMatch(who.and(Host::voter))) {
            print.println(window.row(name + ", voters", who.and(Host::voter)));
        }
        types.append('\n').append(name).append("\n\n").append(window.types());
    }

    private void orders(String name, long fromUs) {
        orderRows.append(world.orders().row(name, fromUs, Long.MAX_VALUE)).append('\n');
        Map<String, Long> feeds = new TreeMap<>();
        Map<String, Long> observers = new TreeMap<>();
        world.running(host -> true).forEach(host -> {
            if (host.process() instanceof Voter voter) {
                voter.feed().counters().forEach((figure, count) -> feeds.merge(figure, count, Long::sum));
            } else if (host.process() instanceof Watcher watcher) {
                watcher.observer().counters().forEach((figure, count) -> observers.merge(figure, count, Long::sum));
            }
        });
        notes.append("voters' counts, those that ran at the end: ").append(feeds).append("\nobservers' counts: ").append(observers)
                .append("\nconnections made, given up for newer ones, messages lost by that: ")
                .append(Arrays.toString(world.wan().links())).append('\n');
    }

    /** Tells when all were level, held all that was acknowledged, and knew all who live; those last as membership has it. */
    private void recovered(String what, Predicate<Host> of) {
        Map<String, Predicate<Process>> holds = new LinkedHashMap<>();
        holds.put("level", Process::level);
        holds.put("holding all that is acknowledged", process -> process.level() && world.orders().heldBy(process));
        holds.put("knowing all who live", process -> process.living() == world.hosts().size());
        Recovery.watch(world, PATIENCE_US, of, holds).forEach((name, recovery) ->
                recoveryRows.append(recovery.row(what + ": " + name)).append('\n'));
    }
}
