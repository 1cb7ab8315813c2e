package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import walkpost.Balancer.Arrival;
import walkpost.Balancer.AttemptEnded;
import walkpost.Balancer.ClientGone;
import walkpost.Balancer.Outcome;
import walkpost.Balancer.Send;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How connections end, and what may cross it. */
class ClosingTest {
    /** A close over unread bytes is a reset, and takes along what of the answer has not reached the client. */
    @Test
    void bytesThatCrossTheCloseCostNoAnswer() throws Exception {
        String body = "0123456789".repeat(6_000);
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), server); var socket = new Socket()) {
            // So little that most of the answer waits on the proxy's side.
            socket.setReceiveBufferSize(4_096);
            socket.connect(proxy.address);
            var client = new Wire(socket);
            client.send(Fixture.get("r1").replace("X-Tenant-Id", "Connection: close\r\nX-Tenant-Id")
                    + Fixture.get("r2").repeat(2_000));
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(Peer.ok(body));
            assertThat(client.read().body()).isEqualTo(body);
            assertThat(client.rest()).isEmpty();
            assertThat(proxy.events.stream().filter(Arrival.class::isInstance)).hasSize(1);
        }
    }

    /** Bytes that come in the meantime would keep a client that takes nothing from counting as silent, for ever. */
    @Test
    void nothingIsReadUntilTheLastAnswerIsTaken() {
        var writes = new ArrayList<ChannelPromise>();
        var channel = new EmbeddedChannel(new ChannelOutboundHandlerAdapter() {
            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                writes.add(promise);
            }
        });
        channel.freezeTime();
        var closing = new Closing(channel, new Sockets(256));
        closing.begin();
        closing.begin();
        assertThat(writes).hasSize(1);
        assertThat(channel.config().isAutoRead()).isFalse();
        channel.advanceTimeBy(10, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        writes.get(0).setSuccess();
        assertThat(channel.config().isAutoRead()).isTrue();
        channel.advanceTimeBy(999, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.isOpen()).isTrue();
        channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(channel.isOpen()).isFalse();
    }

    /** Whoever is given up for others may be sending just then: it sees an end, no reset, and none of it is served. */
    @Test
    void aRequestThatCrossesTheEndOfAnIdleConnectionIsNotServed() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), 128, 15_000_000, server)) {
            server.always(Peer.ok("x"));
            for (int i = 0; i < 21; i++) {
                crowd.add(proxy.client());
                assertThat(crowd.get(i).send(Fixture.get("r" + i)).read().status()).isEqualTo(200);
            }
            Wire first = crowd.get(0);
            assertThat(first.rest()).isEmpty();
            first.send(Fixture.get("late")).send(Fixture.get("later"));
            assertThat(crowd.get(20).send(Fixture.get("last")).read().status()).isEqualTo(200);
            assertThat(proxy.events).noneMatch(e -> e instanceof Arrival a && a.id().startsWith("late"));
        } finally {
            for (Wire client : crowd) {
                client.close();
            }
        }
    }

    /** Those who came and said nothing make room for who does, one for one, and the others stay. */
    @Test
    void aSilentCrowdMakesRoomForAClient() throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), 128, 15_000_000, server)) {
            server.always(Peer.ok("x"));
            for (int i = 0; i < 20; i++) {
                crowd.add(proxy.client());
            }
            try (var client = proxy.client()) {
                assertThat(client.send(Fixture.get("r1")).read().status()).isEqualTo(200);
                assertThat(crowd.get(19).send(Fixture.get("r2")).read().status()).isEqualTo(200);
                assertThat(crowd.get(0).ended()).isTrue();
            }
        } finally {
            for (Wire client : crowd) {
                client.close();
            }
        }
    }

    /**
     * It came while nobody was accepted, and has gone by the time when it is: its end lies unread behind its request, and
     * all that it has sent behind that, though the loop was never held up.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 100})
    void whoeverHasGoneBeforeItIsAcceptedIsSentNowhere(int behind) throws Exception {
        var crowd = new ArrayList<Wire>();
        try (var server = new Peer(); var proxy = new Fixture((event, actions) -> {
            if (event instanceof Arrival a && a.id().equals("gone")) {
                actions.accept(new Send(a.id(), "s0", 0));
            }
        }, 128, 15_000_000, server)) {
            // As many as it takes in, none of which can be given up: each waits for its answer.
            for (int i = 0; i < 20; i++) {
                crowd.add(proxy.client().send(Fixture.get("r" + i)));
                proxy.next(Arrival.class);
            }
            try (var gone = proxy.client()) {
                gone.send(Fixture.get("gone") + Fixture.get("behind").repeat(behind));
            }
            crowd.get(0).close();
            assertThat(proxy.next(Arrival.class).id()).isEqualTo("gone");
            assertThat(proxy.next(ClientGone.class).id()).isEqualTo("gone");
            AttemptEnded end = proxy.next(AttemptEnded.class);
            assertThat(end.outcome()).isEqualTo(Outcome.NOT_SENT);
            assertThat(end.last()).isTrue();
        } finally {
            for (Wire client : crowd) {
                client.close();
            }
        }
    }

    /** A client that has sent ahead and gone is seen to be gone, however much stands before its end. */
    @Test
    void theEndBehindRequestsThatWaitIsSeen() throws Exception {
        try (var proxy = new Fixture((event, actions) -> { })) {
            try (var client = proxy.client()) {
                client.send(Fixture.get("r1").replace("1900m", "60000m") + Fixture.get("r2").repeat(20));
                assertThat(proxy.next(Arrival.class).id()).isEqualTo("r1");
            }
            assertThat(proxy.next(ClientGone.class).id()).isEqualTo("r1");
        }
    }

    /** More than any client has reason to send ahead: what was taken is answered, and the rest with an error. */
    @Test
    void aFloodIsAnsweredAsFarAsItWasTaken() throws Exception {
        try (var server = new Peer(); var proxy = new Fixture(Fixture.sendTo("s0"), server); var client = proxy.client()) {
            String other = Fixture.get("r1").replace("/api", "/other");
            String flood = Fixture.get("r0").replace("1900m", "60000m") + other.repeat(100_000);
            // It takes more than the system does: it is being read.
            CompletableFuture.runAsync(() -> send(client, flood)).get(10, TimeUnit.SECONDS);
            Wire attempt = server.accept();
            attempt.read();
            attempt.send(Peer.ok("x"));
            assertThat(client.read().status()).isEqualTo(200);
            int taken = 0;
            Wire.Message answer = client.read();
            for (; answer.status() == 404; answer = client.read()) {
                taken++;
            }
            assertThat(answer.status()).isEqualTo(429);
            assertThat(taken).isBetween(10, ReadAhead.MOST / other.length());
            assertThat(client.rest()).isEmpty();
        }
    }

    private static void send(Wire wire, String text) {
        try {
            wire.send(text);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
