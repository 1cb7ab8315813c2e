package walkpost.fleet.shell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import walkpost.fleet.FleetException;
import walkpost.fleet.copy.Order;

/** Who waits for an answer to which order. Any thread may call; answers are given with no lock held. */
final class Callers {
    /** Far above what the protocol takes; for a disk that hangs. Ticks rather than a time: while the process is stopped none passes. */
    static final int MOST_TICKS = 100;

    private static final class Caller {
        private final CompletableFuture<Order> answer = new CompletableFuture<>();
        private int ticks;
    }

    private final Map<String, List<Caller>> waiting = new HashMap<>();

    /** Returns what the caller is to be given. */
    synchronized CompletableFuture<Order> add(String id) {
        var caller = new Caller();
        waiting.computeIfAbsent(id, i -> new ArrayList<>()).add(caller);
        return caller.answer;
    }

    void acknowledged(String id, Order order) {
        taken(id).forEach(caller -> caller.answer.complete(order));
    }

    void refused(String id, FleetException why) {
        taken(id).forEach(caller -> caller.answer.completeExceptionally(why));
    }

    private synchronized List<Caller> taken(String id) {
        List<Caller> taken = waiting.remove(id);
        return taken == null ? List.of() : taken;
    }

    /** Gives an answer, by id, to those who have waited too long. */
    void tick(Function<String, FleetException> otherwise) {
        var late = new HashMap<Caller, String>();
        synchronized (this) {
            waiting.forEach((id, callers) -> callers.removeIf(caller -> {
                boolean over = ++caller.ticks > MOST_TICKS;
                if (over) {
                    late.put(caller, id);
                }
                return over;
            }));
            waiting.values().removeIf(List::isEmpty);
        }
        late.forEach((caller, id) -> caller.answer.completeExceptionally(otherwise.apply(id)));
    }

    /** Gives an answer, by id, to all. */
    void end(Function<String, FleetException> answer) {
        List<String> ids;
        synchronized (this) {
            ids = List.copyOf(waiting.keySet());
        }
        ids.forEach(id -> refused(id, answer.apply(id)));
    }
}
