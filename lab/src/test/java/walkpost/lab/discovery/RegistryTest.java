package walkpost.lab.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class RegistryTest {
    private final Registry registry = new Registry();

    private static Entry entry(String id) {
        return new Entry(id, 0, "a", "full-box", 0, Entry.State.READY, 1, 0);
    }

    @Test
    void changesAreToldOnceEachInTheirLatestState() {
        registry.begin(List.of(entry("s1"), entry("s2")));
        int before = registry.version();
        registry.change(entry("s1").in(Entry.State.DRAINING));
        registry.change(entry("s1").in(Entry.State.GONE));
        registry.change(entry("s3"));
        Registry.News news = registry.since(before);
        assertThat(news.full()).isFalse();
        assertThat(news.version()).isEqualTo(before + 3);
        assertThat(news.entries()).containsExactly(entry("s1").in(Entry.State.GONE), entry("s3"));
        assertThat(registry.since(news.version()).entries()).isEmpty();
    }

    @Test
    void whoIsTooFarBehindOrFromAnotherLifeGetsTheWholeListWithoutThoseGone() {
        registry.begin(List.of(entry("s1"), entry("s2")));
        int before = registry.version();
        for (int i = 0; i < 100; i++) {
            registry.change(entry("s1").in(i % 2 == 0 ? Entry.State.DRAINING : Entry.State.GONE));
        }
        assertThat(registry.since(before)).isEqualTo(new Registry.News(before + 100, true, List.of(entry("s2"))));
        assertThat(registry.since(before + 101).full()).isTrue();
    }

    @Test
    void callsAreTakenInTurnAndFailOnceTheyHaveWaitedTooLong() {
        var queue = new CallQueue<String>(100, 10, 1_000);
        queue.add(0, "first");
        queue.add(0, "second");
        assertThat(queue.next(0)).isEqualTo("first");
        assertThat(queue.serve(0, 90)).isEqualTo(1_000);
        assertThat(queue.next(500)).isNull();
        assertThat(queue.nextUs()).isEqualTo(1_000);
        assertThat(queue.expired(999)).isNull();
        assertThat(queue.expired(1_000)).isEqualTo("second");
        assertThat(queue.nextUs()).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aCallBeforeThePlaysZeroIsServedAtOnce() {
        var queue = new CallQueue<String>(100, 10, 1_000);
        queue.add(-30_000_000, "early");
        assertThat(queue.next(-30_000_000)).isEqualTo("early");
        assertThat(queue.serve(-30_000_000, 0)).isEqualTo(-29_999_900);
    }
}
