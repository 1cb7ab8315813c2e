package walkpost.fleet.shell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import walkpost.fleet.copy.Order;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.VoterQueries;

/** Works {@link VoterQueries}: who waits for the answer to which question. Any thread may call; nothing is sent or answered under its lock. */
final class Desk {
    private final List<String> voters;
    private final Clock clock;
    private final BiConsumer<String, ObserveMessage> sender;
    /** Guarded by this object, as are the next three. */
    private final VoterQueries inquiries = new VoterQueries();
    private final Map<Long, CompletableFuture<TopicEntries>> entries = new HashMap<>();
    private final Map<Long, CompletableFuture<Coverage>> held = new HashMap<>();
    private boolean ended;

    /** @param sender is given whom to ask, this member among them where it is a voter, and the question */
    Desk(List<String> voters, Clock clock, BiConsumer<String, ObserveMessage> sender) {
        this.voters = voters;
        this.clock = clock;
        this.sender = sender;
    }

    CompletableFuture<TopicEntries> entries(String topic) {
        var answer = new CompletableFuture<TopicEntries>();
        var out = new ArrayList<Runnable>();
        synchronized (this) {
            if (ended) {
                return CompletableFuture.completedFuture(new TopicEntries(List.of(), voters));
            }
            entries.put(inquiries.queryEntries(clock.nowUs(), topic, voters,
                    (to, message) -> out.add(() -> sender.accept(to, message))), answer);
        }
        out.forEach(Runnable::run);
        return answer;
    }

    CompletableFuture<Coverage> held(Order.Key key, String id) {
        var answer = new CompletableFuture<Coverage>();
        var out = new ArrayList<Runnable>();
        synchronized (this) {
            if (ended) {
                return CompletableFuture.completedFuture(new Coverage(0, 0, List.of(), voters));
            }
            held.put(inquiries.queryCoverage(clock.nowUs(), key, id, voters, (to, message) -> out.add(() -> sender.accept(to, message))), answer);
        }
        out.forEach(Runnable::run);
        return answer;
    }

    /** Returns whether a message is an answer for here. */
    static boolean takes(ObserveMessage message) {
        return message instanceof ObserveMessage.EntriesReply || message instanceof ObserveMessage.CoverageReply;
    }

    void received(String from, ObserveMessage message) {
        synchronized (this) {
            inquiries.receive(clock.nowUs(), from, message);
        }
        tick();
    }

    /** Answers who has waited long enough, or has all that there is. */
    void tick() {
        var answers = new ArrayList<Runnable>();
        synchronized (this) {
            if (entries.isEmpty() && held.isEmpty()) {
                return;
            }
            inquiries.deliverResults(clock.nowUs(), (number, found) -> {
                CompletableFuture<TopicEntries> asker = entries.remove(number);
                answers.add(() -> asker.complete(new TopicEntries(found.entries(), found.silent())));
            }, (number, found) -> {
                CompletableFuture<Coverage> asker = held.remove(number);
                answers.add(() -> asker.complete(new Coverage(found.held(), found.of(), found.lacking(), found.silent())));
            });
        }
        answers.forEach(Runnable::run);
    }

    /** Answers all who wait as if no voter had. */
    void end() {
        List<CompletableFuture<TopicEntries>> entryAskers;
        List<CompletableFuture<Coverage>> ofHeld;
        synchronized (this) {
            ended = true;
            entryAskers = List.copyOf(entries.values());
            ofHeld = List.copyOf(held.values());
            entries.clear();
            held.clear();
        }
        entryAskers.forEach(asker -> asker.complete(new TopicEntries(List.of(), voters)));
        ofHeld.forEach(asker -> asker.complete(new Coverage(0, 0, List.of(), voters)));
    }
}
