package walkpost.fleet.shell;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import walkpost.fleet.FleetException.BadDirectory;
import walkpost.fleet.copy.Slot;

/** Where a voter keeps its orders: a {@link Directory} and whether its disk refuses, or memory only. Any thread may call. */
final class Store implements AutoCloseable {
    private final Directory directory;
    private final AtomicReference<BadDirectory> trouble = new AtomicReference<>();
    private final AtomicReference<Runnable> changed = new AtomicReference<>(() -> { });

    /** @throws BadDirectory if the file's directory can't be had; nothing is held then */
    Store(FleetFile file, Directory.Settings settings, OrderLog.Opener opener) throws BadDirectory {
        directory = file.directory() == null ? null
                : new Directory(file.directory(), file.cluster(), file.name(), settings, opener, reason -> {
                    trouble.set(reason);
                    if (reason == null) {
                        Log.info("directory_works_again", "directory", file.directory());
                    } else {
                        Log.warn("directory_refuses", "directory", file.directory(), "reason", reason.getMessage());
                    }
                    changed.get().run();
                });
    }

    /** Has this run, by the writing thread, whenever the disk begins to refuse or takes what waits again. */
    void onChange(Runnable then) {
        changed.set(then);
    }

    /** Returns null where orders are in memory only. */
    Directory directory() {
        return directory;
    }

    /** Returns why the disk refuses, or null. */
    BadDirectory trouble() {
        return trouble.get();
    }

    /** Takes that the member is level now, or not any more. */
    void level(boolean now) {
        if (directory != null) {
            directory.level(now);
        }
    }

    /** Returns what was kept from before. */
    List<Slot> restored(FleetFile file) {
        if (directory == null) {
            return List.of();
        }
        if (directory.torn() > 0) {
            Log.warn("torn_tail_cut", "directory", file.directory(), "bytes", directory.torn());
        }
        var slots = directory.restored();
        Log.info("orders_restored", "directory", file.directory(), "keys", slots.size(), "away_ms", directory.awayUs() / 1_000);
        return slots;
    }

    @Override
    public void close() {
        if (directory != null) {
            directory.close();
        }
    }
}
