package walkpost.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The backends that one party has taken out: the operators at this proxy's door, or the fleet. Each stands as an empty file in a folder,
 * which outlives the process: at an upgrade two processes serve as one, and what either is told binds both. A file is there or not, so
 * neither needs a lock, nor the word of the other. All of it runs on the one event loop.
 */
final class Exclusions {
    /** A file name holds 255 bytes, and an id takes four for three of its own. */
    static final int LONGEST_ID = 180;
    /** The platform allows 300 ms from a call until nothing new is sent. */
    private static final long LOOK_MS = 100;

    /** A call that could not be carried out; nothing has changed. */
    static final class Refused extends Exception {
        private static final long serialVersionUID = 1L;

        Refused(String why) {
            super(why, null, false, false);
        }
    }

    private final EventLoop loop;
    private final Log log = new Log("operators");
    private final TakenOut all;
    private final Path folder;
    private final String by;
    private final Set<String> excluded = new HashSet<>();
    /** What the folder should say and does not, as it could not be written: whether a backend is out, by its id. */
    private final Map<String, Boolean> unkept = new HashMap<>();
    private boolean readable = true;

    /** Creates a party's exclusions, none at first; {@code by} is who it is, for the log. */
    Exclusions(EventLoop loop, TakenOut all, Path folder, String by) {
        this.loop = loop;
        this.all = all;
        this.folder = folder;
        this.by = by;
    }

    /** Takes over what stands already, and keeps looking for what the other process is told. */
    void start() {
        look();
        loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Takes a backend out; on return the exclusion stands and is obeyed. */
    void exclude(String id) throws Refused {
        known(id);
        try {
            write(id, true);
        } catch (IOException e) {
            throw new Refused("cannot be kept: " + e);
        }
        took(id);
    }

    /** Gives a backend back, however often it was taken out; returns whether it is in use again, as no other party has it out. */
    boolean include(String id) throws Refused {
        known(id);
        try {
            write(id, false);
        } catch (IOException e) {
            throw new Refused("cannot be undone: " + e);
        }
        return gave(id);
    }

    /** Does as was decided elsewhere, whether or not the backend is known here and it can be kept. */
    void obey(String id, boolean out) {
        try {
            write(id, out);
            unkept.remove(id);
        } catch (IOException e) {
            if (unkept.put(id, out) == null) {
                log.warn("exclusion_not_kept", "server", id, "by", by, "reason", e);
            }
        }
        if (out) {
            took(id);
        } else {
            gave(id);
        }
    }

    /** Returns the ids of what this party has out. */
    Set<String> standing() {
        return Set.copyOf(excluded);
    }

    private void known(String id) throws Refused {
        // What the other process has been told since the last look is known as well.
        look();
        if (id.getBytes(StandardCharsets.UTF_8).length > LONGEST_ID || !all.knows(id)) {
            throw new Refused("no such tile server");
        }
    }

    private void write(String id, boolean out) throws IOException {
        Path file = folder.resolve(name(id));
        if (!out) {
            Files.deleteIfExists(file);
            return;
        }
        Files.createDirectories(folder);
        try {
            Files.createFile(file);
        } catch (FileAlreadyExistsException e) {
            // It stands already.
        }
    }

    private boolean written(String id, boolean out) {
        try {
            write(id, out);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private void took(String id) {
        if (excluded.add(id)) {
            log.info("server_taken_out", "server", id, "by", by);
            all.take(id, this);
        }
    }

    private boolean gave(String id) {
        if (excluded.remove(id)) {
            log.info("server_given_back", "server", id, "by", by);
        }
        return all.give(id, this);
    }

    private void look() {
        unkept.entrySet().removeIf(e -> written(e.getKey(), e.getValue()));
        Set<String> standing = onFile();
        if (standing != null) {
            unkept.forEach((id, out) -> {
                if (out) {
                    standing.add(id);
                } else {
                    standing.remove(id);
                }
            });
            standing.forEach(this::took);
            List.copyOf(excluded).stream().filter(id -> !standing.contains(id)).forEach(this::gave);
        }
    }

    /** Returns the ids that stand in the folder; null where it can't be read, and what was told last holds on. */
    private Set<String> onFile() {
        var ids = new HashSet<String>();
        try (var files = Files.newDirectoryStream(folder)) {
            for (Path file : files) {
                id(file.getFileName().toString()).ifPresent(ids::add);
            }
        } catch (NoSuchFileException e) {
            // Nothing was ever taken out here. Any other failure says nothing of what stands.
        } catch (IOException | DirectoryIteratorException e) {
            if (readable) {
                log.warn("exclusions_unreadable", "holding", "those told before", "reason", e);
            }
            readable = false;
            return null;
        }
        readable = true;
        return ids;
    }

    private static String name(String id) {
        return Base64.getUrlEncoder().withoutPadding().encodeToString(id.getBytes(StandardCharsets.UTF_8));
    }

    /** Whatever else lies there says nothing, and must not hide what does. */
    private static Optional<String> id(String name) {
        try {
            return Optional.of(new String(Base64.getUrlDecoder().decode(name), StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
