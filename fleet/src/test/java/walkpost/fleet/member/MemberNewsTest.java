package walkpost.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static walkpost.fleet.member.VirtualNetwork.address;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import walkpost.fleet.member.MembershipCounters.Drop;

/** Tests how one member handles valid and invalid news, and how large its messages are. */
final class MemberNewsTest {
    private static final MemberSettings SETTINGS = MemberSettings.defaults();
    private static final Life ME = new Life("me", 1_000);
    private static final Life OTHER = new Life("other", 1_000);
    private final Membership membership = new Membership(SETTINGS, ME, address(1), List.of(), 1);
    private final List<MemberAction> actions = new ArrayList<>();
    private long nowUs;

    /** Advances the clock and ticks the member. The member "other" acknowledges its pings. */
    private void advance(long stepUs) {
        nowUs += stepUs;
        List<MemberAction> tickActions = new ArrayList<>();
        membership.handle(nowUs, new MemberEvent.Tick(), tickActions::add);
        actions.addAll(tickActions);
        for (MemberAction action : tickActions) {
            if (action instanceof MemberAction.SendTo send && send.message() instanceof MemberMessage.Ping ping
                    && ping.to().equals("other")) {
                membership.handle(nowUs, new MemberEvent.Received(address(2),
                        new MemberMessage.Ack(ping.seq(), "other", OTHER, address(2), List.of())), actions::add);
            }
        }
    }

    private void receiveSync(News... news) {
        membership.handle(nowUs, new MemberEvent.Received(address(2), new MemberMessage.Sync(true, OTHER, address(2), List.of(news))),
                actions::add);
    }

    private void receivePing(Life sender, Address from, News... news) {
        membership.handle(nowUs, new MemberEvent.Received(from, new MemberMessage.Ping(7, "me", sender, from, List.of(news))),
                actions::add);
    }

    private static News news(String name, long incarnation, int host, Standing standing) {
        return News.of(new Member(new Life(name, incarnation), address(host), standing), "other");
    }

    private Member viewOf(String name) {
        return membership.members().stream().filter(member -> member.life().name().equals(name)).findFirst().orElse(null);
    }

    private long dropped(Drop cause) {
        return membership.counters().dropped().getOrDefault(cause, 0L);
    }

    @Test
    void rememberedDeadNamesAreLimitedInNumberAndTime() {
        advance(0);
        for (int i = 0; i < 10_000; i++) {
            receivePing(OTHER, address(2), news("x" + i, 2_000 + i, 3, Standing.ALIVE));
            receivePing(OTHER, address(2), news("x" + i, 2_000 + i, 3, Standing.DEAD));
            advance(1_000);
        }
        assertThat(membership.members().size()).isEqualTo(2 + SETTINGS.deadKept());
        assertThat(viewOf("x8999")).isNull();
        assertThat(viewOf("x9000").standing()).isEqualTo(Standing.DEAD);
        for (long elapsedUs = 0; elapsedUs < SETTINGS.forgetUs(); elapsedUs += 900_000) {
            advance(900_000);
        }
        assertThat(membership.members()).extracting(member -> member.life().name()).containsExactlyInAnyOrder("me", "other");
    }

    @Test
    void aForgottenNameIsAdmittedOnlyByItsOwnMessage() {
        advance(0);
        receivePing(OTHER, address(2), news("x", 2_000, 3, Standing.ALIVE), news("x", 2_000, 3, Standing.DEAD));
        for (long elapsedUs = 0; elapsedUs <= SETTINGS.forgetUs(); elapsedUs += 900_000) {
            advance(900_000);
        }
        assertThat(viewOf("x")).isNull();
        receivePing(OTHER, address(2), news("x", 2_000, 3, Standing.ALIVE), news("x", 2_000, 3, Standing.SUSPECT));
        assertThat(viewOf("x")).isNull();
        actions.clear();
        advance(900_000);
        assertThat(actions).as("the member itself is pinged").anyMatch(action -> action instanceof MemberAction.SendTo send
                && send.to().equals(address(3)) && send.message() instanceof MemberMessage.Ping ping && ping.to().equals("x"));
        receivePing(new Life("x", 2_000), address(3));
        assertThat(viewOf("x").standing()).isEqualTo(Standing.ALIVE);
        receivePing(OTHER, address(2), news("y", 2_001, 4, Standing.ALIVE));
        assertThat(viewOf("y")).as("a member with a higher incarnation than all forgotten ones").isNotNull();
    }

    @Test
    void aSuspicionOfThisMemberIsRefutedInTheAck() {
        advance(0);
        receivePing(OTHER, address(2), news("me", 1_000, 1, Standing.SUSPECT));
        assertThat(actions).contains(new MemberAction.Changed(new Member(new Life("me", 1_001), address(1), Standing.ALIVE)));
        assertThat(actions).anyMatch(action -> action instanceof MemberAction.SendTo send && send.message() instanceof MemberMessage.Ack ack
                && ack.sender().incarnation() == 1_001 && ack.news().contains(News.of(viewOf("me"), "me")));
        assertThat(membership.counters().refutations()).isOne();
        receivePing(OTHER, address(2), news("me", 1_000, 1, Standing.SUSPECT));
        assertThat(membership.counters().refutations()).as("refutations after the same suspicion has arrived again").isOne();
    }

    @Test
    void incarnationsAboveTheLimitAreRejected() {
        advance(0);
        receivePing(new Life("x", Long.MAX_VALUE), address(3));
        receivePing(OTHER, address(2), news("y", News.MAX_INCARNATION + 1, 4, Standing.ALIVE),
                news("me", Long.MAX_VALUE, 1, Standing.DEAD));
        assertThat(viewOf("x")).isNull();
        assertThat(viewOf("y")).isNull();
        assertThat(viewOf("me").life()).isEqualTo(ME);
        assertThat(dropped(Drop.INCARNATION)).isEqualTo(3);
        assertThatThrownBy(() -> new Membership(SETTINGS, new Life("x", News.MAX_INCARNATION), address(1), List.of(), 1))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void malformedAndMisdirectedMessagesAreCountedAndChangeNothing() {
        advance(0);
        receivePing(null, address(3));
        receivePing(new Life("", 1), address(3));
        receivePing(new Life("x".repeat(65), 1), address(3));
        receiveSync(new News("y", 1, null, 1, Standing.ALIVE, "x"), new News("y", 1, "127.0.0.1", 70_000, Standing.ALIVE, "x"),
                new News("y", 1, "127.0.0.1", 7_401, null, "x"));
        assertThat(dropped(Drop.MALFORMED)).isEqualTo(6);
        membership.handle(nowUs, new MemberEvent.Received(address(2), new MemberMessage.Ping(1, "another", OTHER, address(2), null)),
                actions::add);
        membership.handle(nowUs, new MemberEvent.Received(address(2), new MemberMessage.Ack(1, "other", OTHER, address(2), null)),
                actions::add);
        assertThat(dropped(Drop.MISDIRECTED)).isOne();
        assertThat(dropped(Drop.LATE)).isOne();
        assertThat(membership.members()).extracting(member -> member.life().name()).containsExactly("me", "other");
    }

    @Test
    void newsFromADeadSenderAreRejectedAndItsDeathIsReportedToIt() {
        advance(0);
        receivePing(OTHER, address(2), news("x", 1, 3, Standing.ALIVE), news("x", 1, 3, Standing.DEAD));
        actions.clear();
        receivePing(new Life("x", 1), address(3), news("other", 1_000, 2, Standing.DEAD));
        assertThat(viewOf("other").standing()).isEqualTo(Standing.ALIVE);
        assertThat(dropped(Drop.OUTDONE)).isOne();
        assertThat(actions).anyMatch(action -> action instanceof MemberAction.SendTo send && send.message() instanceof MemberMessage.Ack ack
                && ack.news().contains(News.of(viewOf("x"), "me")));
    }

    @Test
    void noMoreMembersAreAdmittedThanTheLimit() {
        advance(0);
        for (int i = 0; i < SETTINGS.livingKept() + 10; i++) {
            receivePing(new Life("x" + i, 1), address(3));
        }
        assertThat(membership.roundTripBoundsUs()).hasSize(SETTINGS.livingKept());
        assertThat(dropped(Drop.FULL)).isEqualTo(10);
    }

    @Test
    void datagramsStayUnder1200BytesOfCborAndSurviveTheRoundTrip() throws Exception {
        ObjectMapper cborMapper = new CBORMapper();
        String name = "n".repeat(News.MAX_TEXT_BYTES);
        Address longestAddress = new Address("1".repeat(News.MAX_TEXT_BYTES), 65_535);
        Life sender = new Life(name, News.MAX_INCARNATION - 1);
        for (int length : new int[] {1, 30, 62}) {
            var gossip = new GossipQueue(4);
            for (int i = 10; i < 60; i++) {
                Life subject = new Life("m".repeat(length) + i, News.MAX_INCARNATION - 1);
                gossip.add(News.of(new Member(subject, longestAddress, Standing.SUSPECT), name));
            }
            News first = News.of(new Member(sender, longestAddress, Standing.SUSPECT), name);
            MemberMessage message = new MemberMessage.PingRequest(Long.MAX_VALUE, name, longestAddress, sender, longestAddress,
                    gossip.take(first, 100));
            byte[] bytes = cborMapper.writeValueAsBytes(message);
            assertThat(message.news()).hasSizeGreaterThan(1);
            assertThat(bytes.length).isLessThan(1_200).isGreaterThan(600);
            assertThat(cborMapper.readValue(bytes, MemberMessage.class)).isEqualTo(message);
        }
    }

    @Test
    void unknownFieldsOfALaterVersionAreIgnored() throws Exception {
        ObjectMapper cborMapper = new CBORMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
        var later = new ObjectMapper().readTree("""
                {"t":"ack","seq":3,"of":"x","new":{"a":1},"sender":{"name":"x","incarnation":2,"zone":"z"},
                 "at":{"host":"127.0.0.1","port":1},"news":[{"n":"y","i":5,"h":"127.0.0.2","p":2,"s":"LEFT","b":null,"z":0}]}""");
        assertThat(cborMapper.readValue(cborMapper.writeValueAsBytes(later), MemberMessage.class)).isEqualTo(new MemberMessage.Ack(3, "x",
                new Life("x", 2), new Address("127.0.0.1", 1), List.of(new News("y", 5, "127.0.0.2", 2, Standing.LEFT, null))));
    }

    @Test
    void eachConfirmationShortensASuspicion() {
        var suspicions = new Suspicions(SETTINGS);
        suspicions.start("x", "a", 10, 0);
        long maxTimeoutUs = suspicions.maxTimeoutUs(10);
        assertThat(maxTimeoutUs).isEqualTo(30 * SETTINGS.periodUs());
        assertThat(suspicions.expiredNames(maxTimeoutUs - 1)).isEmpty();
        assertThat(suspicions.expiredNames(maxTimeoutUs)).containsExactly("x");
        assertThat(suspicions.confirm("x", "a")).isFalse();
        assertThat(suspicions.confirm("x", "b")).isTrue();
        assertThat(suspicions.expiredNames(maxTimeoutUs / 2 + maxTimeoutUs / 10)).containsExactly("x");
        assertThat(suspicions.confirm("x", "c")).isTrue();
        assertThat(suspicions.confirm("x", "d")).isTrue();
        assertThat(suspicions.confirm("x", "e")).as("a confirmation beyond the needed number").isFalse();
        assertThat(suspicions.expiredNames(5 * SETTINGS.periodUs() - 1)).isEmpty();
        assertThat(suspicions.expiredNames(5 * SETTINGS.periodUs())).containsExactly("x");
        suspicions.restart(100);
        assertThat(suspicions.expiredNames(maxTimeoutUs + 99)).isEmpty();
    }
}
