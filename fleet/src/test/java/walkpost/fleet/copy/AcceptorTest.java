package walkpost.fleet.copy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import walkpost.fleet.member.Life;

/** Tests when an acceptor promises a slot to an order, and when the promise is released. */
class AcceptorTest {
    private static final Order.Key KEY = new Order.Key("placement", "l1");
    private static final Life A = new Life("a", 1);

    private final ShardSettings settings = ShardSettings.defaults();
    private final ShardCounters counters = new ShardCounters();
    private final CatchUpState catchUpState = new CatchUpState(settings, new PeerSet("h", Set.of("h"), 1, 1), counters);
    private final SlotStore slotStore = new SlotStore(settings, counters);
    private final Acceptor acceptor = new Acceptor(settings, catchUpState, slotStore);

    @BeforeEach
    void catchUp() {
        catchUpState.advanceClock(0);
        catchUpState.update(0);
    }

    private String propose(long nowUs, Life issuer, long round, String id, String... replaces) {
        Order order = new Order(KEY, id, SlotMerge.nextVersion(slotStore.slot(KEY)), List.of(replaces), "1", null, issuer);
        ShardMessage answer = acceptor.answerProposal(nowUs, new ShardMessage.Propose(round, order, Slot.empty(KEY)));
        return answer instanceof ShardMessage.Declined declined ? declined.why() + declined.other() : "promised";
    }

    @Test
    void aSlotIsReservedForOneOrderUntilThePromiseExpires() {
        assertThat(propose(0, A, 1, "x")).isEqualTo("promised");
        assertThat(propose(1, A, 1, "x")).as("the same proposal again, because the answer was lost").isEqualTo("promised");
        assertThat(propose(1, new Life("b", 1), 1, "y")).isEqualTo("BUSYx");
        assertThat(propose(2_999_999, new Life("a", 2), 9, "y")).as("a proposal of a later life of the coordinator").isEqualTo("BUSYx");
        assertThat(propose(3_000_000, new Life("b", 1), 1, "y")).as("the repetition did not extend the promise")
                .isEqualTo("promised");
        assertThat(propose(3_000_001, A, 1, "x")).isEqualTo("BUSYy");
    }

    @Test
    void aLaterRoundOfTheSameCoordinatorReplacesTheEarlierRound() {
        propose(0, A, 1, "x");
        assertThat(propose(1_000_000, A, 2, "y")).isEqualTo("promised");
        assertThat(propose(1_000_000, A, 1, "x")).as("a late proposal of an earlier round").isEqualTo("BUSYy");
        assertThat(propose(3_500_000, new Life("b", 1), 1, "z")).isEqualTo("BUSYy");
    }

    @Test
    void anAbandonedRoundReleasesItsOwnPromiseOnly() {
        propose(0, A, 2, "x");
        acceptor.release(KEY, "a", 1, 1);
        acceptor.release(KEY, "b", 1, 9);
        assertThat(propose(1, new Life("b", 1), 1, "y")).isEqualTo("BUSYx");
        acceptor.release(KEY, "a", 1, 2);
        assertThat(propose(2, new Life("b", 1), 1, "y")).isEqualTo("promised");
    }

    @Test
    void anOrderThatReplacesAnOrderNoLongerInForceGetsNoPromise() {
        slotStore.storeDecided(0, new Order(KEY, "o1", 1, List.of(), "1", null, A));
        assertThat(propose(1, A, 1, "x")).isEqualTo("OVERTAKENo1");
        assertThat(propose(1, A, 1, "x", "o0")).isEqualTo("OVERTAKENo1");
        assertThat(propose(1, A, 1, "x", "o1")).isEqualTo("promised");
    }

    @Test
    void aMemberThatIsNotCaughtUpPromisesNothing() {
        catchUpState.advanceClock(1);
        CatchUpState notCaughtUp = new CatchUpState(settings, new PeerSet("h", Set.of("h", "i"), 1, 1), counters);
        notCaughtUp.advanceClock(0);
        notCaughtUp.update(0);
        Order order = new Order(KEY, "x", 1, List.of(), "1", null, A);
        ShardMessage answer = new Acceptor(settings, notCaughtUp, slotStore)
                .answerProposal(1, new ShardMessage.Propose(1, order, Slot.empty(KEY)));
        assertThat(answer).isEqualTo(new ShardMessage.Declined(1, "x", ShardMessage.DeclineReason.NOT_LEVEL, "", null));
    }
}
