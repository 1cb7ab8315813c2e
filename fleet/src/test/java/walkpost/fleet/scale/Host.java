package walkpost.fleet.scale;

import java.util.LinkedHashMap;
import java.util.Map;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;

/** One computer: its place, what its disk holds, and the process that runs on it, if any. */
final class Host {
    private final World world;
    private final int index;
    private final String name;
    private final Address address;
    private final int region;
    private final int zone;
    private final boolean voter;
    private final Map<Order.Key, Slot> disk = new LinkedHashMap<>();
    private long lastIncarnation;
    private long levelUs;
    private Process process;

    Host(World world, int index, boolean voter) {
        this.world = world;
        this.index = index;
        this.voter = voter;
        region = index % World.REGIONS;
        zone = index % World.ZONES;
        name = (voter ? "voter-" : "proxy-") + (char) ('a' + zone) + "-" + String.format("%03d", index);
        address = new Address("10." + (1 + region) + "." + index / 200 + "." + (1 + index % 200), 7401);
    }

    int index() {
        return index;
    }

    String name() {
        return name;
    }

    Address address() {
        return address;
    }

    int region() {
        return region;
    }

    int zone() {
        return zone;
    }

    boolean voter() {
        return voter;
    }

    /** Returns what lies on this host's disk; a process without a directory writes nothing there. */
    Map<Order.Key, Slot> disk() {
        return disk;
    }

    /** Returns the process, or null. */
    Process process() {
        return process;
    }

    boolean runs() {
        return process != null;
    }

    /** The process has just been level: what the directory's lock keeps. */
    void level(long nowUs) {
        levelUs = nowUs;
    }

    long awayUs(long nowUs) {
        return nowUs - levelUs;
    }

    /** Starts a process, unless one runs. */
    void start() {
        if (process == null) {
            lastIncarnation = Math.max(lastIncarnation + 1, 1_764_000_000_000L + world.nowUs() / Agenda.MS);
            Life life = new Life(name, lastIncarnation);
            process = voter ? new Voter(world, this, life) : new Watcher(world, this, life);
            process.begin();
        }
    }

    /** Ends the process at once. */
    void kill() {
        if (process != null) {
            Process ended = process;
            process = null;
            world.ended(ended);
        }
    }

    /** Ends the process as its owner does: it says good-bye. */
    void stop() {
        if (process != null) {
            process.leave();
            kill();
        }
    }

    @Override
    public String toString() {
        return name;
    }
}
