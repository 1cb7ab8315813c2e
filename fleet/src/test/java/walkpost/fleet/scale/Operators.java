package walkpost.fleet.scale;

import java.util.function.Predicate;

/** Who gives orders: at random members that can be reached, each on the next key. */
final class Operators {
    private final World world;
    private final Predicate<Host> where;
    private double perSecond;
    private int orders;

    Operators(World world, Predicate<Host> where) {
        this.world = world;
        this.where = where;
    }

    /** Orders come at random from now on, so many a second on average. */
    void start(double rate) {
        perSecond = rate;
        next();
    }

    void stop() {
        perSecond = 0;
    }

    private void next() {
        if (perSecond > 0) {
            world.agenda().after(world.agenda().untilNext(perSecond), () -> {
                if (perSecond > 0) {
                    one();
                    next();
                }
            });
        }
    }

    /** Gives one order now. */
    void one() {
        var hosts = world.running(host -> where.test(host) && world.reachable(host));
        if (!hosts.isEmpty()) {
            world.orders().call(world.any(hosts).process(), World.key(orders++ % World.KEYS));
        }
    }
}
