package walkpost.fleet.scale;

import java.io.PrintStream;
import java.util.List;
import walkpost.fleet.scale.World.Plan;

/** Fleets in which every member votes and tells its entries to all: joining, quiet, with orders, and one that comes back. */
final class Today {
    private static final long PATIENCE_US = 180 * Agenda.S;
    private static final long SETTLE_US = 20 * Agenda.S;
    private static final long ORDERS_US = 30 * Agenda.S;
    private static final long AWAY_US = 30 * Agenda.S;

    private final Options options;
    private final PrintStream print;

    Today(Options options, PrintStream print) {
        this.options = options;
        this.print = print;
    }

    void run() {
        print.println("Facts a second each: " + options.number("facts", 0) + ", seed " + options.number("seed", 1) + ", seconds measured "
                + options.number("seconds", 30) + "\n");
        print.println(Window.HEAD);
        StringBuilder events = new StringBuilder("\n| members | all start in a second: level after, ms; KB out a member, p50; max | "
                + "one back after 30 s: level after, ms; "
                + "KB in; KB out | heap a member, KB | real s |\n| --- | --- | --- | --- | --- |\n");
        StringBuilder types = new StringBuilder();
        StringBuilder orders = new StringBuilder(Orders.HEAD).append('\n');
        for (int members : options.numbers("members", "8,24,48,96")) {
            events.append(one(members, types, orders)).append('\n');
        }
        print.println(events);
        print.println(orders);
        if (options.flag("types", false)) {
            print.println(types);
        }
    }

    private String one(int members, StringBuilder types, StringBuilder orders) {
        long startNs = System.nanoTime();
        int seconds = options.number("seconds", 30);
        World world = new World(new Plan(members, 0, false, options.share("loss", 0.001), options.number("seed", 1), 600 + seconds));
        Window joining = new Window(world);
        world.start(world.hosts(), Agenda.S);
        world.agenda().play(Agenda.S);
        double joined = 1_000 + world.until(PATIENCE_US, Process::level, host -> true);
        joining.end();
        List<Double> kb = joining.bytes(true, host -> true).stream().map(rate -> rate * joining.seconds() / 1e3).toList();
        String joinKb = Figures.number(Figures.median(kb)) + "; " + Figures.number(Figures.most(kb));
        if (options.number("facts", 0) > 0) {
            new Writers(world, Agenda.S / options.number("facts", 0)).start(world.hosts());
        }
        world.agenda().play(SETTLE_US);
        Window quiet = new Window(world);
        world.agenda().play(seconds * Agenda.S);
        quiet.end();
        print.println(quiet.row(members + " voters", host -> true));
        types.append("\n").append(members).append(" voters\n\n").append(quiet.types());
        Operators operators = new Operators(world, host -> true);
        operators.start(1);
        world.agenda().play(ORDERS_US);
        operators.stop();
        world.agenda().play(ORDERS_US + Agenda.S);
        Host last = world.hosts().get(members - 1);
        last.kill();
        world.agenda().play(AWAY_US);
        Window back = new Window(world);
        last.start();
        double again = world.until(PATIENCE_US, process -> process.level() && world.orders().heldBy(process), host -> host == last);
        back.end();
        double heap = Heap.usedKb() / members;
        orders.append(world.orders().row(members + " voters", 0, Long.MAX_VALUE)).append('\n');
        return Figures.row(members, Figures.number(joined) + "; " + joinKb,
                Figures.number(again) + "; " + total(back, false, last) + "; " + total(back, true, last), heap,
                (System.nanoTime() - startNs) / 1e9);
    }

    private static String total(Window window, boolean outward, Host host) {
        return Figures.number(window.bytes(outward, one -> one == host).get(0) * window.seconds() / 1e3);
    }
}
