package walkpost.lab.play;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import walkpost.lab.client.DoorCaller;
import walkpost.lab.ledger.Seen;
import walkpost.lab.net.Stage;
import walkpost.lab.scenario.Members;
import walkpost.lab.scenario.Planner;

/**
 * What the lab asks at the doors of proxies that are members: rounds of questions at each, one at a time, and the calls that the
 * scenario plans. Used by the play's thread; each door's callers work on one event loop.
 */
final class Doors {
    /** What each round asks. */
    private static final List<String> QUESTIONS = List.of("orders", "fleet", "facts proxy");
    private static final long ASKED_MS = 2_000;
    /** An order takes 2 s at most; a member that stood still answers later. */
    private static final long CALLED_MS = 6_000;

    private final Stage stage;
    private final Members members;
    private final IntPredicate runs;
    private final List<DoorCaller> callers = new ArrayList<>();
    private volatile boolean stopped;

    /** Creates the callers of some doors; {@code runs} says whether a proxy's process is there. */
    Doors(Stage stage, List<InetSocketAddress> doors, IntPredicate runs) {
        this.stage = stage;
        this.runs = runs;
        members = stage.scenario().fleet().members();
        var numbers = new AtomicLong();
        for (int proxy = 0; proxy < doors.size(); proxy++) {
            callers.add(new DoorCaller(stage, loop(proxy), numbers, proxy, doors.get(proxy)));
        }
    }

    private EventLoop loop(int proxy) {
        return stage.loops().of(proxy);
    }

    /** Begins to ask, and has the planned calls made when they are due. */
    void begin(Timeline timeline) {
        for (int proxy = 0; proxy < callers.size(); proxy++) {
            ask(proxy, 0);
        }
        for (Members.Call call : members.calls()) {
            String line = Planner.line(call, stage.plan());
            timeline.at(call.atUs(), () -> whom(call).forEach(proxy -> call(proxy, line, call.againUs())));
        }
    }

    /** Asks and calls nothing more. */
    void stop() {
        stopped = true;
    }

    private List<Integer> whom(Members.Call call) {
        return call.proxies().isEmpty() ? IntStream.range(0, callers.size()).filter(runs).boxed().toList() : call.proxies();
    }

    private void call(int proxy, String line, long againUs) {
        if (stopped) {
            return;
        }
        callers.get(proxy).call(line, CALLED_MS, answered -> {
            if (againUs > 0 && !succeeded(answered)) {
                loop(proxy).schedule(() -> call(proxy, line, againUs), againUs, TimeUnit.MICROSECONDS);
            }
        });
    }

    private static boolean succeeded(Seen.DoorAnswered answered) {
        return answered.whole() && answered.line().startsWith("SUCCESS");
    }

    private void ask(int proxy, int question) {
        if (stopped) {
            return;
        }
        if (question == QUESTIONS.size()) {
            loop(proxy).schedule(() -> ask(proxy, 0), members.pollUs(), TimeUnit.MICROSECONDS);
        } else {
            callers.get(proxy).call(QUESTIONS.get(question), ASKED_MS, answered -> ask(proxy, question + 1));
        }
    }
}
