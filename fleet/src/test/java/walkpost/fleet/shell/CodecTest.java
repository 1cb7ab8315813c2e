package walkpost.fleet.shell;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import walkpost.fleet.copy.Entry;
import walkpost.fleet.copy.Order;
import walkpost.fleet.copy.ShardMessage;
import walkpost.fleet.copy.Slot;
import walkpost.fleet.member.Address;
import walkpost.fleet.member.Life;
import walkpost.fleet.member.MemberMessage;
import walkpost.fleet.observe.ObserveMessage;
import walkpost.fleet.observe.ObserveMessage.RefusalReason;

/** Messages as bytes: what is not from this cluster's members, or not understood, is dropped under its cause and never an error. */
final class CodecTest {
    private static final byte[] SECRET = "a secret of the test's".getBytes(StandardCharsets.UTF_8);
    private static final int HEAD = 33;
    private static final int SHARDS = 8;
    private static final Life FROM = new Life("n1", 17);
    private static final Address AT = new Address("127.0.0.1", 7401);
    private static final MemberMessage PING = new MemberMessage.Ping(3, "n2", FROM, AT, List.of());
    private static final CBORMapper CBOR = new CBORMapper();

    private final Counters counters = new Counters();
    private final Codec codec = codec("gent", SECRET);

    private Codec codec(String cluster, byte[] secret) {
        return new Codec(cluster, SHARDS, new Secret(secret), counters);
    }

    private byte[] ping() {
        return codec.encode(Envelope.of(PING, "gent", FROM, AT, SHARDS));
    }

    /** Returns a message of the same secret whose envelope was changed. */
    private byte[] ping(Consumer<ObjectNode> change) throws IOException, GeneralSecurityException {
        byte[] ping = ping();
        var tree = (ObjectNode) CBOR.readTree(Arrays.copyOfRange(ping, HEAD, ping.length));
        change.accept(tree);
        return signed((byte) Codec.FORMAT, tree);
    }

    private static byte[] signed(byte format, JsonNode tree) throws GeneralSecurityException, JsonProcessingException {
        byte[] body = CBOR.writeValueAsBytes(tree);
        Mac mac = Mac.getInstance("HmacSHA256");
        mac.init(new SecretKeySpec(SECRET, "HmacSHA256"));
        mac.update(format);
        byte[] code = mac.doFinal(body);
        byte[] message = new byte[HEAD + body.length];
        message[0] = format;
        System.arraycopy(code, 0, message, 1, code.length);
        System.arraycopy(body, 0, message, HEAD, body.length);
        return message;
    }

    private void dropped(byte[] message, String cause) {
        long before = counters.get("dropped_" + cause);
        assertThat(codec.decode(message)).isNull();
        assertThat(counters.all()).containsEntry("dropped_" + cause, before + 1);
    }

    @Test
    void messagesOfMembersAndOfShardsComeBackAsTheyWere() {
        Envelope member = Envelope.of(PING, "gent", FROM, AT, SHARDS);
        assertThat(codec.decode(codec.encode(member))).isEqualTo(member);
        var key = new Order.Key("exclusion", "tile-1");
        var order = new Order(key, "o1", 2, List.of("o0"), "{\"out\":true}", null, FROM);
        var commit = new ShardMessage.Commit(4, "o1", new Slot(key, List.of(order), Map.of("o0", 1L), 0));
        var entries = new ShardMessage.Entries(false, List.of(new Entry(new Entry.Key("load", "n1", "n1"), 17, 1, null, 250)));
        for (ShardMessage message : List.of(commit, entries)) {
            Envelope copy = Envelope.of(message, 5, "gent", FROM, AT, SHARDS);
            assertThat(codec.decode(codec.encode(copy))).isEqualTo(copy);
        }
        assertThat(counters.all()).isEmpty();
    }

    private static List<ObserveMessage> observeMessages() {
        var key = new Order.Key("exclusion", "tile-1");
        var order = new Order(key, "o1", 2, List.of("o0"), "{\"out\":true}", null, FROM);
        var slots = List.of(new Slot(key, List.of(order), Map.of("o0", 1L), 0), Slot.empty(key));
        var entries = List.of(new Entry(new Entry.Key("load", "n1", "n1"), 17, 1, null, 250));
        return List.of(new ObserveMessage.Subscribe(1, "north", true), new ObserveMessage.Subscribed(1, Map.of("v1", "north")),
                new ObserveMessage.SubscriptionRefused(1, RefusalReason.FULL, 500), new ObserveMessage.Unsubscribe(),
                new ObserveMessage.Heartbeat(2, false, -7, Long.MAX_VALUE / 4),
                new ObserveMessage.HeartbeatReply(2, true, 0, new long[] {1, -2, Long.MIN_VALUE}, Map.of("north", 3, "", 1)),
                new ObserveMessage.LeafHashes(2, new int[] {4}, new long[] {-1, 5}),
                new ObserveMessage.SlotDigests(2, 0, 2, new int[] {64}, List.of(new ShardMessage.SlotDigest(key, -9))),
                new ObserveMessage.FetchRequest(2, List.of(key)), new ObserveMessage.Slots(2, 40, slots), new ObserveMessage.Push(8, 40, slots),
                new ObserveMessage.PushAck(8), new ObserveMessage.Offer(40, slots),
                new ObserveMessage.ForwardOrder(key, "o2", null, null, 1), new ObserveMessage.ForwardOrder(key, "o2", "", "{}", 1L << 61),
                new ObserveMessage.ForwardOrderReply("o1", 1, 2, order, null, null, null, false),
                new ObserveMessage.ForwardOrderReply("o1", 1, 2, null, "Busy", "it crosses", "wait", true), new ObserveMessage.ReportEntries(entries),
                new ObserveMessage.EntriesQuery(3, "load"), new ObserveMessage.EntriesReply(3, 0, 1, entries),
                new ObserveMessage.CoverageQuery(4, key, "o1"),
                new ObserveMessage.CoverageReply(4, 5, 6, List.of("n9")), new ObserveMessage.ObserverCounts("north", Map.of("south", 12)));
    }

    @Test
    void whatObserversAndVotersSayComesBackAsItWas() {
        for (ObserveMessage message : observeMessages()) {
            Envelope envelope = Envelope.of(message, "gent", FROM, AT, SHARDS);
            Envelope back = codec.decode(codec.encode(envelope));
            // Arrays are equal by what is in them here, and not to records.
            assertThat(back).as("%s", message).usingRecursiveComparison().isEqualTo(envelope);
        }
        assertThat(observeMessages().stream().map(Object::getClass).distinct()).as("every kind of them")
                .containsExactlyInAnyOrder(ObserveMessage.class.getPermittedSubclasses());
        assertThat(counters.all()).isEmpty();
    }

    @Test
    void whatObserversSayIsDroppedWhereAByteIsGarbledOrItMakesNoSense() throws Exception {
        for (ObserveMessage message : observeMessages()) {
            byte[] whole = codec.encode(Envelope.of(message, "gent", FROM, AT, SHARDS));
            for (int i = 0; i < whole.length; i++) {
                byte[] garbled = whole.clone();
                garbled[i] ^= 1;
                dropped(garbled, i == 0 ? "unknown_format" : "not_authentic");
            }
            dropped(codec("brugge", SECRET).encode(Envelope.of(message, "brugge", FROM, AT, SHARDS)), "other_cluster");
            var tree = (ObjectNode) CBOR.readTree(Arrays.copyOfRange(whole, HEAD, whole.length));
            ((ObjectNode) tree.get("observe")).put("t", "song");
            dropped(signed((byte) Codec.FORMAT, tree), "not_understood");
            tree = (ObjectNode) CBOR.readTree(Arrays.copyOfRange(whole, HEAD, whole.length));
            ((ObjectNode) tree.get("observe")).put("colour", "green");
            assertThat(codec.decode(signed((byte) Codec.FORMAT, tree))).isNotNull();
            tree.set("member", CBOR.readTree(Arrays.copyOfRange(ping(), HEAD, ping().length)).get("member"));
            dropped(signed((byte) Codec.FORMAT, tree), "not_understood");
        }
    }

    @Test
    void unknownFieldsArePassedOver() throws Exception {
        byte[] later = ping(tree -> {
            tree.put("colour", "green");
            ((ObjectNode) tree.get("member")).putArray("more").add(1).addObject().put("a", 2);
            ((ObjectNode) tree.get("from")).put("zone", "cellar");
        });
        assertThat(codec.decode(later)).isEqualTo(Envelope.of(PING, "gent", FROM, AT, SHARDS));
    }

    @Test
    void aMessageWithAnotherSecretOrNoneIsNotBelieved() {
        byte[] ping = ping();
        dropped(codec("gent", "another one, as long".getBytes(StandardCharsets.UTF_8)).encode(
                Envelope.of(PING, "gent", FROM, AT, SHARDS)), "not_authentic");
        byte[] without = ping.clone();
        Arrays.fill(without, 1, HEAD, (byte) 0);
        dropped(without, "not_authentic");
        dropped(Arrays.copyOfRange(ping, HEAD, ping.length), "unknown_format");
        dropped(Arrays.copyOf(ping, HEAD), "no_message");
        dropped(new byte[0], "no_message");
        dropped(new byte[Codec.MOST + 1], "no_message");
    }

    @Test
    void eachByteCountsWhicheverIsGarbled() {
        byte[] ping = ping();
        for (int i = 0; i < ping.length; i++) {
            byte[] garbled = ping.clone();
            garbled[i] ^= 1;
            dropped(garbled, i == 0 ? "unknown_format" : "not_authentic");
            dropped(Arrays.copyOf(ping, i), i <= HEAD ? "no_message" : "not_authentic");
        }
    }

    @Test
    void otherClustersAndOtherNumbersOfShardsAreToldApart() throws Exception {
        dropped(codec("brugge", SECRET).encode(Envelope.of(PING, "brugge", FROM, AT, SHARDS)), "other_cluster");
        dropped(ping(tree -> tree.put("shards", 4)), "other_shards");
        dropped(signed((byte) 2, CBOR.createObjectNode().put("all", "else")), "unknown_format");
    }

    @Test
    void whatIsAuthenticAndMakesNoSenseIsDropped() throws Exception {
        dropped(ping(tree -> ((ObjectNode) tree.get("member")).put("t", "song")), "not_understood");
        dropped(ping(tree -> ((ObjectNode) tree.get("member")).put("seq", "three")), "not_understood");
        dropped(ping(tree -> tree.remove("from")), "not_understood");
        dropped(ping(tree -> tree.remove("at")), "not_understood");
        dropped(ping(tree -> tree.remove("member")), "not_understood");
        dropped(ping(tree -> tree.remove("cluster")), "not_understood");
        dropped(ping(tree -> tree.put("shard", 8)), "not_understood");
        dropped(ping(tree -> tree.put("shard", -1)), "not_understood");
        dropped(ping(tree -> ((ObjectNode) tree.get("from")).put("name", "n 1\n")), "not_understood");
        dropped(ping(tree -> ((ObjectNode) tree.get("from")).put("incarnation", -1)), "not_understood");
        dropped(signed((byte) Codec.FORMAT, CBOR.getNodeFactory().nullNode()), "not_understood");
        JsonNode deep = CBOR.createArrayNode();
        for (int i = 0; i < 100; i++) {
            deep = CBOR.createArrayNode().add(deep);
        }
        JsonNode nested = deep;
        dropped(ping(tree -> tree.set("more", nested)), "not_understood");
    }

    @Property(tries = 500, seed = "20261202")
    void noBytesGetAnErrorOut(@ForAll byte[] body, @ForAll boolean authentic) throws Exception {
        byte[] message = new byte[HEAD + body.length];
        message[0] = Codec.FORMAT;
        System.arraycopy(body, 0, message, HEAD, body.length);
        if (authentic) {
            Mac mac = Mac.getInstance("HmacSHA256");
            mac.init(new SecretKeySpec(SECRET, "HmacSHA256"));
            mac.update((byte) Codec.FORMAT);
            System.arraycopy(mac.doFinal(body), 0, message, 1, HEAD - 1);
        }
        long before = counters.all().values().stream().mapToLong(Long::longValue).sum();
        assertThat(codec.decode(message)).isNull();
        assertThat(counters.all().values().stream().mapToLong(Long::longValue).sum()).isEqualTo(before + 1);
    }

    @Test
    void aMessageTooLongIsNotSent() {
        var entries = new ShardMessage.Entries(false,
                List.of(new Entry(new Entry.Key("load", "n1", "n1"), 17, 1, "x".repeat(Codec.MOST), 0)));
        assertThat(codec.encode(Envelope.of(entries, 0, "gent", FROM, AT, SHARDS))).isNull();
        assertThat(counters.get("dropped_too_long")).isOne();
    }
}
