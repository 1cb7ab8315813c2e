package walkpost.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import walkpost.Balancer.BackendState;
import walkpost.Balancer.ListKind;

/**
 * Hands the list of servers over from one process of a proxy to the next, through a file in the directory that both use. During an upgrade
 * the rules see one proxy: what discovery told the old process binds the new one, also while discovery does not answer the new one.
 *
 * <p>A process stores the lists that discovery gives it from its readiness on, and goes on during its shutdown until a later process has
 * stored one. A process that starts reads the file, and follows it until discovery has given it a list. From a list at one process until it
 * is in use at the other it takes {@link #STORE_DELAY_MS} and {@link #FOLLOW_INTERVAL_MS} at most, besides the work itself; a drain has
 * to be obeyed within 300 ms.
 *
 * <p>Files are read and written on a thread of its own. {@link #onListApplied} and {@link #onReady} run on the event loop, all other
 * methods on any thread.
 */
final class ListHandover implements DiscoveryClient.ListObserver {
    /** How often a process without a list from discovery looks for a new list in the file. */
    private static final long FOLLOW_INTERVAL_MS = 50;
    /** How long after a change the list is stored, together with all changes until then, which bounds what bursts of changes cost. */
    private static final long STORE_DELAY_MS = 100;
    /** How often a process makes sure that the file still holds its list. */
    private static final long CHECK_INTERVAL_MS = 1_000;
    private static final String FILE = "servers";
    private static final String LOCK = "serving";
    private static final long NO_VERSION = -1;
    /** The number of ended exclusions that are kept; the earliest are dropped first. */
    private static final int MAX_INCLUSIONS = 1_024;

    private final EventLog log = new EventLog("handover");
    private final EventLoop loop;
    private final String proxy;
    /** The number of the last known list in the configuration; negative if there is none. */
    private final long knownVersion;
    private final StoredServerList.WriterId self = new StoredServerList.WriterId(System.nanoTime());
    private final ServerListFile file;
    private final StoredListReader reader;
    private final StoredListWriter writer;
    /** Null if its file can't be opened; no other process is known to serve then. */
    private final ServingLock lock;
    private final ScheduledExecutorService executor = new ScheduledThreadPoolExecutor(1, ListHandover::newThread,
            new ThreadPoolExecutor.DiscardPolicy());

    /** All servers on the list that this process has, by id. Used on the event loop only. */
    private final Map<String, ServerListEntry> entriesById = new LinkedHashMap<>();
    /** When the exclusions of servers ended, by id, the earliest first. Used on the event loop only. */
    private final Map<String, Long> includedAtNs = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_INCLUSIONS;
        }
    };
    private final LongSupplier coldNs;
    /** The latest list that discovery gave this process; null if it gave none. */
    private volatile StoredServerList ownList;
    private final AtomicBoolean storePending = new AtomicBoolean();
    private volatile boolean ready;

    /**
     * Creates the handover of a process that starts.
     *
     * @param directory the directory that all processes of this proxy use; if it can't be written, nothing is handed over
     * @param coldNs the time after its start at which a server is warm, by the settings in force, in nanoseconds
     */
    ListHandover(EventLoop loop, Config config, Path directory, LongSupplier coldNs) {
        this.loop = loop;
        this.coldNs = coldNs;
        proxy = config.name();
        knownVersion = config.lastKnownList() == null ? NO_VERSION : config.lastKnownList().path("version").asLong(NO_VERSION);
        file = new ServerListFile(directory.resolve(FILE), self);
        reader = new StoredListReader(file, proxy, self);
        writer = new StoredListWriter(file, self, System::nanoTime);
        lock = openLock(directory.resolve(LOCK));
    }

    private static Thread newThread(Runnable task) {
        var thread = new Thread(task, "list-handover");
        thread.setDaemon(true);
        return thread;
    }

    private ServingLock openLock(Path path) {
        try {
            return ServingLock.open(path);
        } catch (IOException e) {
            log.warn("lock_not_opened", "reason", e);
            return null;
        }
    }

    /**
     * Stores a list and reads it, so that a class data archive that is being recorded has the classes for it.
     *
     * @param directory a directory for the files, which stay there
     */
    static void trainClassDataArchive(Config config, Path directory) {
        var process = new StoredServerList.WriterId(0);
        var nextProcess = new StoredServerList.WriterId(1);
        var file = new ServerListFile(directory.resolve(FILE), process);
        var server = new ServerListEntry("training", config.discovery(), BackendState.READY, "", "", 0, 1, 0);
        var list = new StoredServerList(config.name(), process, config.discovery(), 0, NO_VERSION, List.of(server), Map.of("training", 0L));
        new StoredListWriter(file, process, System::nanoTime).store(list);
        new StoredListReader(file, config.name(), nextProcess).readNew();
        try {
            file.deleteUnfinished();
            ServingLock lock = ServingLock.open(directory.resolve(LOCK));
            if (!lock.isHeldByOther() && lock.tryHold()) {
                lock.release();
            }
        } catch (IOException e) {
            new EventLog("handover").warn("training_failed", "reason", e);
        }
    }

    /** Returns whether another process of this proxy is ready for clients and has not begun its shutdown. */
    boolean isOtherProcessServing() {
        return lock != null && lock.isHeldByOther();
    }

    /** Returns the list that another process has stored; empty if there is none. */
    Optional<StoredServerList> readAtStart() {
        try {
            file.deleteUnfinished();
        } catch (IOException | DirectoryIteratorException e) {
            log.warn("unfinished_file_not_deleted", "reason", e);
        }
        return reader.readNew();
    }

    /**
     * Returns whether a stored list replaces the last known list in the configuration.
     *
     * @param discovery the address of discovery in the configuration
     */
    boolean replacesLastKnownList(StoredServerList stored, InetSocketAddress discovery) {
        boolean otherServes = isOtherProcessServing();
        boolean replaces = stored.replaces(knownVersion, discovery, otherServes);
        log.info(replaces ? "list_taken_over" : "list_too_old", "version", stored.version(), "known", knownVersion, "servers",
                stored.entries().size(), "other_process", otherServes ? "serving" : "not_serving");
        return replaces;
    }

    /** Returns the servers that are cold because their exclusion ended shortly before this process started, by the list stored then. */
    List<String> recentlyIncluded(StoredServerList storedAtStart) {
        return storedAtStart.includedWithin(coldNs.getAsLong(), System.nanoTime());
    }

    /** Passes each further list that another process stores to a client, until discovery gives this process a list. */
    void follow(DiscoveryClient client) {
        schedule(FOLLOW_INTERVAL_MS, () -> {
            if (ownList == null) {
                follow(client);
                reader.readNew().ifPresent(list -> loop.execute(() -> client.adopt(list)));
            }
        });
    }

    /** Runs a task on the executor after a delay; a failure ends that run of it only. */
    private void schedule(long delayMs, Runnable task) {
        executor.schedule(() -> {
            try {
                task.run();
            } catch (RuntimeException | OutOfMemoryError e) {
                log.error("handover_failed", e);
            }
        }, delayMs, TimeUnit.MILLISECONDS);
    }

    /** Shows other processes that this one serves, and stores its lists from now on. */
    void onReady() {
        ready = true;
        schedule(0, this::checkRegularly);
    }

    private void checkRegularly() {
        schedule(CHECK_INTERVAL_MS, this::checkRegularly);
        if (lock != null) {
            lock.tryHold();
        }
        storeOwnList();
    }

    private void storeOwnList() {
        storePending.set(false);
        StoredServerList list = ownList;
        if (list != null) {
            writer.store(list);
        }
    }

    /** Shows other processes that this one does not serve any more. */
    void onShutdown() {
        if (lock != null) {
            lock.release();
        }
    }

    /** Ends the handover. */
    void stop() {
        executor.shutdownNow();
        onShutdown();
    }

    @Override
    public void onListApplied(ListKind kind, InetSocketAddress discovery, long version, List<ServerListEntry> entries) {
        if (kind != ListKind.DELTA) {
            entriesById.clear();
        }
        for (ServerListEntry entry : entries) {
            if (entry.state() == BackendState.GONE) {
                entriesById.remove(entry.id());
            } else {
                entriesById.put(entry.id(), entry);
            }
        }
        if (kind == ListKind.CACHED) {
            return;
        }
        if (ownList == null) {
            log.info("first_list", "version", version);
        }
        setOwnList(discovery, version);
    }

    /** Takes note that an exclusion has ended: the server is cold for the next process as well. Runs on the event loop. */
    void onIncluded(String id) {
        long nowNs = System.nanoTime();
        includedAtNs.values().removeIf(atNs -> nowNs - atNs >= coldNs.getAsLong());
        includedAtNs.remove(id);
        includedAtNs.put(id, nowNs);
        if (ownList != null) {
            setOwnList(ownList.discovery(), ownList.version());
        }
    }

    private void setOwnList(InetSocketAddress discovery, long version) {
        ownList = new StoredServerList(proxy, self, discovery, version, knownVersion, List.copyOf(entriesById.values()), includedAtNs);
        if (ready && storePending.compareAndSet(false, true)) {
            schedule(STORE_DELAY_MS, this::storeOwnList);
        }
    }
}
