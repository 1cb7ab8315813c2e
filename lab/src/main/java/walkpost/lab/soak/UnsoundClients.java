package walkpost.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The crowds of clients that a soak sets beside the sound ones. */
final class UnsoundClients {
    /** A peer that sends no whole request is owed an error or a close within 3 s. */
    static final int OWED_MS = 3_000;
    static final int OWED_SLACK_MS = 550;
    private static final int AGAIN_MS = 4_000;
    private static final int LARGE_BODY_BYTES = 250_000;
    private static final int SHORT_FIELDS = 1_400;
    private static final int PIPELINED = 60;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 8 * 1024;
    private static final int FLOOD_BATCH = 20;

    private final InetSocketAddress proxy;
    private final SoakPlan plan;
    private final SoakRecord record;
    private final AtomicInteger count = new AtomicInteger();

    UnsoundClients(InetSocketAddress proxy, SoakPlan plan, SoakRecord record) {
        this.proxy = proxy;
        this.plan = plan;
        this.record = record;
    }

    /** Starts all crowds of the plan; each client works until its crowd's time or the soak is over. */
    void start() {
        long startNs = System.nanoTime();
        for (SoakPlan.Crowd crowd : plan.crowds()) {
            long fromNs = startNs + TimeUnit.MILLISECONDS.toNanos(crowd.fromMs());
            long untilNs = startNs + TimeUnit.MILLISECONDS.toNanos(Math.min(plan.lengthMs(), crowd.fromMs() + crowd.lengthMs()));
            for (int i = 0; i < crowd.clients(); i++) {
                var random = new SplittableRandom(plan.seed() * 1_000_003 + crowd.behaviour().ordinal() * 10_007L + i);
                SoakThreads.start(crowd.behaviour().name(), () -> {
                    SoakThreads.sleepUntil(fromNs + TimeUnit.MILLISECONDS.toNanos(random.nextInt(500)));
                    while (System.nanoTime() < untilNs) {
                        long againNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pauseMs(crowd.behaviour()));
                        try {
                            act(crowd.behaviour(), random, untilNs);
                        } catch (IOException e) {
                            // Refused, closed or reset: the client comes again later.
                        }
                        SoakThreads.sleepUntil(Math.min(againNs, untilNs));
                    }
                });
            }
        }
    }

    private static int pauseMs(SoakPlan.Behaviour behaviour) {
        return switch (behaviour) {
            case FLOOD_SOUND, FLOOD_NEW_NAMES, FLOOD_UNSOUND -> 20;
            case LEAVE_UNREAD, REPEAT_ID -> 150;
            default -> AGAIN_MS;
        };
    }

    private void act(SoakPlan.Behaviour behaviour, SplittableRandom random, long untilNs) throws IOException, InterruptedException {
        switch (behaviour) {
            case MANY_FIELDS -> sendManyFields();
            case SLOW_BODY -> sendSlowBody();
            case HALF_BODY -> sendHalfBody();
            case SLOW_READER -> readSlowly(untilNs);
            case FLOOD_SOUND -> flood(behaviour, untilNs, this::small);
            case FLOOD_NEW_NAMES -> flood(behaviour, untilNs, this::newNames);
            case FLOOD_UNSOUND -> flood(behaviour, untilNs, this::unsound);
            case LEAVE_UNREAD -> leaveUnread(random);
            case REPEAT_ID -> repeatId(random);
        }
    }

    private String newId(String prefix) {
        return prefix + plan.seed() + "-" + count.getAndIncrement();
    }

    private SoakRequest registered(SoakRequest request) {
        record.requests.put(request.id(), request);
        return request;
    }

    private SoakRequest largeRequest(String prefix) {
        return registered(new SoakRequest(newId(prefix), SoakSettings.Effect.KEYED, 1_500, LARGE_BODY_BYTES,
                SoakRequest.ServerPlan.quick(20, 1_000)));
    }

    private void sendManyFields() throws IOException, InterruptedException {
        try (SoakConnection connection = SoakConnection.connect(proxy)) {
            connection.send("GET /api/tile HTTP/1.1\r\n" + "a:b\r\n".repeat(SHORT_FIELDS));
            awaitErrorOrClose(SoakPlan.Behaviour.MANY_FIELDS, connection, System.nanoTime());
        }
    }

    private void sendHalfBody() throws IOException, InterruptedException {
        SoakRequest request = largeRequest("h");
        try (SoakConnection connection = SoakConnection.connect(proxy)) {
            connection.send(request.head());
            connection.send(new byte[LARGE_BODY_BYTES / 2]);
            awaitErrorOrClose(SoakPlan.Behaviour.HALF_BODY, connection, System.nanoTime());
        }
    }

    /** Waits for what a peer is owed that sends no whole request. */
    private void awaitErrorOrClose(SoakPlan.Behaviour behaviour, SoakConnection connection, long sinceNs) throws InterruptedException {
        connection.readUntil(sinceNs + TimeUnit.MILLISECONDS.toNanos(OWED_MS + OWED_SLACK_MS));
        try {
            SoakConnection.Head head = connection.readHead();
            record.crowdAnswer(behaviour, head == null ? 0 : head.status());
        } catch (SocketTimeoutException e) {
            record.unanswered.add(new SoakRecord.Unanswered(behaviour, sinceNs));
        } catch (IOException e) {
            record.crowdAnswer(behaviour, 0);
        }
    }

    private void sendSlowBody() throws IOException, InterruptedException {
        SoakRequest request = largeRequest("b");
        try (SoakConnection connection = SoakConnection.connect(proxy)) {
            connection.send(request.head());
            // 64 KB a second, which is the slowest that the pages name.
            for (int sent = 0; sent < LARGE_BODY_BYTES; sent += 6_400) {
                connection.send(new byte[Math.min(6_400, LARGE_BODY_BYTES - sent)]);
                SoakThreads.sleepMs(100);
            }
            connection.readUntil(System.nanoTime() + TimeUnit.SECONDS.toNanos(3));
            SoakConnection.Head head = connection.readHead();
            record.crowdAnswer(SoakPlan.Behaviour.SLOW_BODY, head == null ? 0 : head.status());
        }
    }

    private void readSlowly(long untilNs) throws IOException, InterruptedException {
        SoakRequest request = registered(new SoakRequest(newId("r"), SoakSettings.Effect.SAFE, 800, 0,
                SoakRequest.ServerPlan.quick(20, LARGE_BODY_BYTES)));
        try (SoakConnection connection = SoakConnection.connect(proxy, SMALL_RECEIVE_BUFFER_BYTES)) {
            connection.send(request.head());
            connection.readUntil(untilNs);
            byte[] some = new byte[6_400];
            int count = 0;
            while (count >= 0 && System.nanoTime() < untilNs) {
                count = connection.read(some, 0, some.length);
                SoakThreads.sleepMs(100);
            }
        }
    }

    /** Makes one request of a flood. */
    private interface Message {
        String next();
    }

    private String small() {
        SoakRequest request = registered(new SoakRequest(newId("f"), SoakSettings.Effect.SAFE, 800, 0, SoakRequest.ServerPlan.quick(5, 500)));
        return new String(request.head(), StandardCharsets.ISO_8859_1);
    }

    private String newNames() {
        String name = newId("x");
        return "GET /api/" + name + "?k=" + name + " HTTP/1.1\r\nHost: " + name + "\r\nX-Request-ID: " + name + "\r\nX-Priority-Class: "
                + name + "\r\nX-Tenant-Id: " + name + "\r\n" + name + ": 1\r\nX-Timeout: 800m\r\n\r\n";
    }

    private String unsound() {
        return "GET /api?k=%zz HTTP/1.1\r\nHost: x\r\nX-Timeout: never\r\n\r\n";
    }

    /** Sends requests without waiting for answers, which another thread reads, until the connection ends or the time is over. */
    private void flood(SoakPlan.Behaviour behaviour, long untilNs, Message message) throws IOException {
        try (SoakConnection connection = SoakConnection.connect(proxy)) {
            connection.readUntil(untilNs);
            Thread reader = SoakThreads.start(behaviour + "-reader", () -> {
                for (SoakConnection.Head head = connection.readHead(); head != null; head = connection.readHead()) {
                    record.crowdAnswer(behaviour, head.status());
                    connection.readBody(head, (bytes, length) -> { });
                }
            });
            while (System.nanoTime() < untilNs && reader.isAlive()) {
                var batch = new StringBuilder();
                for (int i = 0; i < FLOOD_BATCH; i++) {
                    batch.append(message.next());
                }
                connection.send(batch.toString());
            }
        }
    }

    /** Leaves a long request or a series of pipelined ones behind and closes; nothing of them may begin later. */
    private void leaveUnread(SplittableRandom random) throws IOException, InterruptedException {
        boolean longBody = random.nextBoolean();
        int requests = longBody ? 1 : PIPELINED;
        var ids = new ArrayList<String>();
        try (SoakConnection connection = SoakConnection.connect(proxy)) {
            for (int i = 0; i < requests; i++) {
                SoakRequest request = longBody ? largeRequest("l") : registered(new SoakRequest(newId("l"), SoakSettings.Effect.KEYED, 1_500,
                        100, SoakRequest.ServerPlan.quick(20, 500)));
                ids.add(request.id());
                connection.send(request.head());
                connection.send(new byte[request.bodyBytes()]);
            }
            SoakThreads.sleepMs(random.nextInt(20));
        }
        long closedNs = System.nanoTime();
        ids.forEach(id -> record.left(id, closedNs));
    }

    private void repeatId(SplittableRandom random) throws IOException, InterruptedException {
        SoakSettings.Effect effect = random.nextBoolean() ? SoakSettings.Effect.KEYED : SoakSettings.Effect.UNSAFE;
        SoakRequest request = registered(new SoakRequest(newId("i"), effect, 1_500, 300, SoakRequest.ServerPlan.quick(30, 500)));
        try (SoakConnection connection = SoakConnection.connect(proxy)) {
            connection.send(request.head());
            connection.send(new byte[request.bodyBytes()]);
            SoakThreads.sleepMs(random.nextInt(60));
        }
        SoakThreads.sleepMs(random.nextInt(50));
        try (SoakConnection connection = SoakConnection.connect(proxy)) {
            connection.send(request.head());
            connection.send(new byte[request.bodyBytes()]);
            connection.readUntil(System.nanoTime() + TimeUnit.SECONDS.toNanos(3));
            SoakConnection.Head head = connection.readHead();
            record.crowdAnswer(SoakPlan.Behaviour.REPEAT_ID, head == null ? 0 : head.status());
        }
    }
}
