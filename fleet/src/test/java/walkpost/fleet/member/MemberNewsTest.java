package walkpost.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static walkpost.fleet.member.VirtualNetwork.at;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import walkpost.fleet.member.MembershipFigures.Drop;

/** What one member makes of what it is told, honest or not, and what its messages weigh. */
final class MemberNewsTest {
    private static final MemberSettings USUAL = MemberSettings.defaults();
    private static final Life ME = new Life("me", 1_000);
    private static final Life OTHER = new Life("other", 1_000);
    private final Membership machine = new Membership(USUAL, ME, at(1), List.of(), 1);
    private final List<MemberAction> actions = new ArrayList<>();
    private long nowUs;

    /** Time passes; the other one acknowledges what it is pinged with. */
    private void tick(long us) {
        nowUs += us;
        List<MemberAction> now = new ArrayList<>();
        machine.handle(nowUs, new MemberEvent.Tick(), now::add);
        actions.addAll(now);
        for (MemberAction action : now) {
            if (action instanceof MemberAction.SendTo send && send.message() instanceof MemberMessage.Ping ping
                    && ping.to().equals("other")) {
                machine.handle(nowUs, new MemberEvent.Received(at(2),
                        new MemberMessage.Ack(ping.seq(), "other", OTHER, at(2), List.of())), actions::add);
            }
        }
    }

    private void hear(News... news) {
        machine.handle(nowUs, new MemberEvent.Received(at(2), new MemberMessage.Sync(true, OTHER, at(2), List.of(news))), actions::add);
    }

    private void ping(Life sender, Address from, News... news) {
        machine.handle(nowUs, new MemberEvent.Received(from, new MemberMessage.Ping(7, "me", sender, from, List.of(news))), actions::add);
    }

    private static News news(String name, long incarnation, int host, Standing standing) {
        return News.of(new Member(new Life(name, incarnation), at(host), standing), "other");
    }

    private Member held(String name) {
        return machine.members().stream().filter(m -> m.life().name().equals(name)).findFirst().orElse(null);
    }

    private long dropped(Drop cause) {
        return machine.figures().dropped().getOrDefault(cause, 0L);
    }

    @Test
    void tenThousandDeadNamesAreForgottenBeyondANumberAndAfterATime() {
        tick(0);
        for (int i = 0; i < 10_000; i++) {
            ping(OTHER, at(2), news("x" + i, 2_000 + i, 3, Standing.ALIVE));
            ping(OTHER, at(2), news("x" + i, 2_000 + i, 3, Standing.DEAD));
            tick(1_000);
        }
        assertThat(machine.members().size()).isEqualTo(2 + USUAL.deadKept());
        assertThat(held("x8999")).isNull();
        assertThat(held("x9000").standing()).isEqualTo(Standing.DEAD);
        for (long us = 0; us < USUAL.forgetUs(); us += 900_000) {
            tick(900_000);
        }
        assertThat(machine.members()).extracting(m -> m.life().name()).containsExactlyInAnyOrder("me", "other");
    }

    @Test
    void aForgottenNameComesBackByItsOwnWordOnly() {
        tick(0);
        ping(OTHER, at(2), news("x", 2_000, 3, Standing.ALIVE), news("x", 2_000, 3, Standing.DEAD));
        for (long us = 0; us <= USUAL.forgetUs(); us += 900_000) {
            tick(900_000);
        }
        assertThat(held("x")).isNull();
        ping(OTHER, at(2), news("x", 2_000, 3, Standing.ALIVE), news("x", 2_000, 3, Standing.SUSPECT));
        assertThat(held("x")).isNull();
        actions.clear();
        tick(900_000);
        assertThat(actions).as("it is asked itself").anyMatch(a -> a instanceof MemberAction.SendTo s && s.to().equals(at(3))
                && s.message() instanceof MemberMessage.Ping p && p.to().equals("x"));
        ping(new Life("x", 2_000), at(3));
        assertThat(held("x").standing()).isEqualTo(Standing.ALIVE);
        ping(OTHER, at(2), news("y", 2_001, 4, Standing.ALIVE));
        assertThat(held("y")).as("one that is newer than all forgotten").isNotNull();
    }

    @Test
    void itsOwnSuspicionIsRefutedInTheAnswer() {
        tick(0);
        ping(OTHER, at(2), news("me", 1_000, 1, Standing.SUSPECT));
        assertThat(actions).contains(new MemberAction.Changed(new Member(new Life("me", 1_001), at(1), Standing.ALIVE)));
        assertThat(actions).anyMatch(a -> a instanceof MemberAction.SendTo s && s.message() instanceof MemberMessage.Ack ack
                && ack.sender().incarnation() == 1_001 && ack.news().contains(News.of(held("me"), "me")));
        assertThat(machine.figures().refutations()).isOne();
        ping(OTHER, at(2), news("me", 1_000, 1, Standing.SUSPECT));
        assertThat(machine.figures().refutations()).as("heard late").isOne();
    }

    @Test
    void incarnationsNearOverflowAreRefused() {
        tick(0);
        ping(new Life("x", Long.MAX_VALUE), at(3));
        ping(OTHER, at(2), news("y", News.MAX_INCARNATION + 1, 4, Standing.ALIVE), news("me", Long.MAX_VALUE, 1, Standing.DEAD));
        assertThat(held("x")).isNull();
        assertThat(held("y")).isNull();
        assertThat(held("me").life()).isEqualTo(ME);
        assertThat(dropped(Drop.INCARNATION)).isEqualTo(3);
        assertThatThrownBy(() -> new Membership(USUAL, new Life("x", News.MAX_INCARNATION), at(1), List.of(), 1))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void malformedAndMisdirectedMessagesAreCountedAndChangeNothing() {
        tick(0);
        ping(null, at(3));
        ping(new Life("", 1), at(3));
        ping(new Life("x".repeat(65), 1), at(3));
        hear(new News("y", 1, null, 1, Standing.ALIVE, "x"), new News("y", 1, "127.0.0.1", 70_000, Standing.ALIVE, "x"),
                new News("y", 1, "127.0.0.1", 7_401, null, "x"));
        assertThat(dropped(Drop.MALFORMED)).isEqualTo(6);
        machine.handle(nowUs, new MemberEvent.Received(at(2), new MemberMessage.Ping(1, "another", OTHER, at(2), null)), actions::add);
        machine.handle(nowUs, new MemberEvent.Received(at(2), new MemberMessage.Ack(1, "other", OTHER, at(2), null)), actions::add);
        assertThat(dropped(Drop.MISDIRECTED)).isOne();
        assertThat(dropped(Drop.LATE)).isOne();
        assertThat(machine.members()).extracting(m -> m.life().name()).containsExactly("me", "other");
    }

    @Test
    void theDeadAreNotBelievedAndAreToldSo() {
        tick(0);
        ping(OTHER, at(2), news("x", 1, 3, Standing.ALIVE), news("x", 1, 3, Standing.DEAD));
        actions.clear();
        ping(new Life("x", 1), at(3), news("other", 1_000, 2, Standing.DEAD));
        assertThat(held("other").standing()).isEqualTo(Standing.ALIVE);
        assertThat(dropped(Drop.OUTDONE)).isOne();
        assertThat(actions).anyMatch(a -> a instanceof MemberAction.SendTo s && s.message() instanceof MemberMessage.Ack ack
                && ack.news().contains(News.of(held("x"), "me")));
    }

    @Test
    void noMoreAreTakenInThanAreKept() {
        tick(0);
        for (int i = 0; i < USUAL.livingKept() + 10; i++) {
            ping(new Life("x" + i, 1), at(3));
        }
        assertThat(machine.roundTripUs()).hasSize(USUAL.livingKept());
        assertThat(dropped(Drop.FULL)).isEqualTo(10);
    }

    @Test
    void datagramsStayUnder1200BytesOfCborAndComeBackAsTheyWere() throws Exception {
        ObjectMapper cbor = new CBORMapper();
        String name = "n".repeat(News.MAX_TEXT_BYTES);
        Address far = new Address("1".repeat(News.MAX_TEXT_BYTES), 65_535);
        Life sender = new Life(name, News.MAX_INCARNATION - 1);
        for (int length : new int[] {1, 30, 62}) {
            var gossip = new GossipQueue(4);
            for (int i = 10; i < 60; i++) {
                gossip.add(News.of(new Member(new Life("m".repeat(length) + i, News.MAX_INCARNATION - 1), far, Standing.SUSPECT), name));
            }
            News first = News.of(new Member(sender, far, Standing.SUSPECT), name);
            MemberMessage message = new MemberMessage.PingRequest(Long.MAX_VALUE, name, far, sender, far, gossip.take(first, 100));
            byte[] bytes = cbor.writeValueAsBytes(message);
            assertThat(message.news()).hasSizeGreaterThan(1);
            assertThat(bytes.length).isLessThan(1_200).isGreaterThan(600);
            assertThat(cbor.readValue(bytes, MemberMessage.class)).isEqualTo(message);
        }
    }

    @Test
    void fieldsOfALaterVersionAreLetPass() throws Exception {
        ObjectMapper cbor = new CBORMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        var later = new ObjectMapper().readTree("""
                {"t":"ack","seq":3,"of":"x","new":{"a":1},"sender":{"name":"x","incarnation":2,"zone":"z"},
                 "at":{"host":"127.0.0.1","port":1},"news":[{"n":"y","i":5,"h":"127.0.0.2","p":2,"s":"LEFT","b":null,"z":0}]}""");
        assertThat(cbor.readValue(cbor.writeValueAsBytes(later), MemberMessage.class)).isEqualTo(new MemberMessage.Ack(3, "x",
                new Life("x", 2), new Address("127.0.0.1", 1), List.of(new News("y", 5, "127.0.0.2", 2, Standing.LEFT, null))));
    }

    @Test
    void aSuspicionShortensWithEachThatSharesIt() {
        var suspicions = new Suspicions(USUAL);
        suspicions.start("x", "a", 10, 0);
        long longest = suspicions.maxTimeoutUs(10);
        assertThat(longest).isEqualTo(30 * USUAL.periodUs());
        assertThat(suspicions.expiredNames(longest - 1)).isEmpty();
        assertThat(suspicions.expiredNames(longest)).containsExactly("x");
        assertThat(suspicions.confirm("x", "a")).isFalse();
        assertThat(suspicions.confirm("x", "b")).isTrue();
        assertThat(suspicions.expiredNames(longest / 2 + longest / 10)).containsExactly("x");
        assertThat(suspicions.confirm("x", "c")).isTrue();
        assertThat(suspicions.confirm("x", "d")).isTrue();
        assertThat(suspicions.confirm("x", "e")).as("enough share it").isFalse();
        assertThat(suspicions.expiredNames(5 * USUAL.periodUs() - 1)).isEmpty();
        assertThat(suspicions.expiredNames(5 * USUAL.periodUs())).containsExactly("x");
        suspicions.restart(100);
        assertThat(suspicions.expiredNames(longest + 99)).isEmpty();
    }
}
