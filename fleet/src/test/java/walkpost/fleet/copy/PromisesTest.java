package walkpost.fleet.copy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import walkpost.fleet.member.Life;

class PromisesTest {
    private static final Order.Key KEY = new Order.Key("placement", "l1");
    private static final Life A = new Life("a", 1);

    private final CopySettings settings = CopySettings.usual();
    private final Figures figures = new Figures();
    private final Touch touch = new Touch(settings, new Neighbours("h", Set.of("h"), 1, 1), figures);
    private final OrderBook book = new OrderBook(settings, figures);
    private final Promises promises = new Promises(settings, touch, book);

    @BeforeEach
    void level() {
        touch.clock(0);
        touch.settle(0);
    }

    private String ask(long nowUs, Life issuer, long round, String id, String... replaces) {
        Order order = new Order(KEY, id, SlotRule.next(book.slot(KEY)), List.of(replaces), "1", null, issuer);
        CopyMessage answer = promises.answer(nowUs, new CopyMessage.Propose(round, order, Slot.empty(KEY)));
        return answer instanceof CopyMessage.Declined no ? no.why() + no.other() : "promised";
    }

    @Test
    void aSlotIsKeptForOneOrderUntilThePromiseEnds() {
        assertThat(ask(0, A, 1, "x")).isEqualTo("promised");
        assertThat(ask(1, A, 1, "x")).as("the same again, as the answer was lost").isEqualTo("promised");
        assertThat(ask(1, new Life("b", 1), 1, "y")).isEqualTo("BUSYx");
        assertThat(ask(2_999_999, new Life("a", 2), 9, "y")).as("a later life of the same name").isEqualTo("BUSYx");
        assertThat(ask(3_000_000, new Life("b", 1), 1, "y")).as("asking again did not lengthen it").isEqualTo("promised");
        assertThat(ask(3_000_001, A, 1, "x")).isEqualTo("BUSYy");
    }

    @Test
    void aLaterRoundOfTheSameCoordinatorTakesThePlaceOfTheOneBefore() {
        ask(0, A, 1, "x");
        assertThat(ask(1_000_000, A, 2, "y")).isEqualTo("promised");
        assertThat(ask(1_000_000, A, 1, "x")).as("a proposal that came late").isEqualTo("BUSYy");
        assertThat(ask(3_500_000, new Life("b", 1), 1, "z")).isEqualTo("BUSYy");
    }

    @Test
    void aRoundGivenUpFreesItsPromiseAndNoOther() {
        ask(0, A, 2, "x");
        promises.forget(KEY, "a", 1, 1);
        promises.forget(KEY, "b", 1, 9);
        assertThat(ask(1, new Life("b", 1), 1, "y")).isEqualTo("BUSYx");
        promises.forget(KEY, "a", 1, 2);
        assertThat(ask(2, new Life("b", 1), 1, "y")).isEqualTo("promised");
    }

    @Test
    void nothingIsPromisedOnWhatNoLongerStands() {
        book.decide(0, new Order(KEY, "o1", 1, List.of(), "1", null, A));
        assertThat(ask(1, A, 1, "x")).isEqualTo("OVERTAKENo1");
        assertThat(ask(1, A, 1, "x", "o0")).isEqualTo("OVERTAKENo1");
        assertThat(ask(1, A, 1, "x", "o1")).isEqualTo("promised");
    }

    @Test
    void aMemberThatIsNotLevelPromisesNothing() {
        touch.clock(1);
        Touch lost = new Touch(settings, new Neighbours("h", Set.of("h", "i"), 1, 1), figures);
        lost.clock(0);
        lost.settle(0);
        Order order = new Order(KEY, "x", 1, List.of(), "1", null, A);
        CopyMessage answer = new Promises(settings, lost, book).answer(1, new CopyMessage.Propose(1, order, Slot.empty(KEY)));
        assertThat(answer).isEqualTo(new CopyMessage.Declined(1, "x", CopyMessage.Reason.NOT_LEVEL, "", null));
    }
}
