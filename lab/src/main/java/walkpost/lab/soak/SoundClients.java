package walkpost.lab.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.TimeUnit;

/**
 * Clients that keep to every rule: they send requests at a steady rate whatever comes back, keep their connections, and send a request once
 * more on a new connection if the close of a kept one crossed it.
 */
final class SoundClients {
    private static final int REQUESTS_PER_S = 40;
    /** How long after its time a client still waits, to tell a late answer from a missing one. */
    static final int PATIENCE_MS = 2_500;
    /** How long a client goes on reading an answer that began in time and is still coming. */
    private static final int LONG_ANSWER_MS = 12_000;

    private final InetSocketAddress proxy;
    private final SoakRecord record;
    private final SoakPlan plan;
    private final SplittableRandom random;
    private final Deque<SoakConnection> idle = new ConcurrentLinkedDeque<>();
    private int count;

    SoundClients(InetSocketAddress proxy, SoakPlan plan, SoakRecord record) {
        this.proxy = proxy;
        this.plan = plan;
        this.record = record;
        this.random = new SplittableRandom(plan.seed() * 31 + 7);
    }

    /** Sends requests for the length of the plan. */
    void run() throws InterruptedException {
        long startNs = System.nanoTime();
        long endNs = startNs + TimeUnit.MILLISECONDS.toNanos(plan.lengthMs());
        long intervalNs = TimeUnit.SECONDS.toNanos(1) / REQUESTS_PER_S;
        for (long nextNs = startNs; nextNs < endNs; nextNs += intervalNs) {
            SoakThreads.sleepUntil(nextNs);
            SoakRequest request = next();
            record.requests.put(request.id(), request);
            SoakThreads.start("client", () -> exchange(request));
        }
    }

    /** Draws the next request: most are small, some have a long answer that comes in pieces or a long body that is read slowly. */
    private SoakRequest next() {
        String id = "c%d-%05d".formatted(plan.seed(), count++);
        int kind = random.nextInt(100);
        int patience = 70 + random.nextInt(31);
        if (kind < 72) {
            return request(id, SoakSettings.Effect.SAFE, patience, 0, SoakRequest.ServerPlan.quick(10 + random.nextInt(20), 4_000));
        } else if (kind < 88) {
            SoakSettings.Effect effect = random.nextBoolean() ? SoakSettings.Effect.KEYED : SoakSettings.Effect.UNSAFE;
            return request(id, effect, patience, 200 + random.nextInt(2_000), SoakRequest.ServerPlan.quick(15 + random.nextInt(20), 2_000));
        } else if (kind < 96) {
            SoakRequest.Framing framing = SoakRequest.Framing.values()[random.nextInt(3)];
            SoakSettings.Effect effect = random.nextBoolean() ? SoakSettings.Effect.SAFE : SoakSettings.Effect.KEYED;
            int firstMs = random.nextInt(3) == 0 ? 600 : 0;
            int bodyBytes = effect == SoakSettings.Effect.SAFE ? 0 : 300;
            return new SoakRequest(id, effect, random.nextBoolean() ? 500 : effect.deadlineMs(), bodyBytes,
                    new SoakRequest.ServerPlan(0, 20, 120_000 + random.nextInt(180_000), 10_000, firstMs, 80, framing));
        }
        return new SoakRequest(id, SoakSettings.Effect.KEYED, 1_000, 250_000,
                new SoakRequest.ServerPlan(400 + random.nextInt(1_800), 20, 2_000, 2_000, 0, 0, SoakRequest.Framing.LENGTH));
    }

    private static SoakRequest request(String id, SoakSettings.Effect effect, int patiencePercent, int bodyBytes,
            SoakRequest.ServerPlan serverPlan) {
        return new SoakRequest(id, effect, effect.deadlineMs() * patiencePercent / 100, bodyBytes, serverPlan);
    }

    private void exchange(SoakRequest request) throws IOException {
        SoakConnection kept = idle.pollFirst();
        if (kept != null) {
            SoakRecord.Answer answer = exchange(request, kept);
            if (answer.end() != SoakRecord.End.CLOSED) {
                record.answers.add(answer);
                return;
            }
        }
        SoakConnection fresh;
        try {
            fresh = SoakConnection.connect(proxy);
        } catch (IOException e) {
            long nowNs = System.nanoTime();
            record.answers.add(new SoakRecord.Answer(request, SoakRecord.End.UNREACHED, 0, nowNs, 0, nowNs, true));
            return;
        }
        record.answers.add(exchange(request, fresh));
    }

    /** Sends a request and reads its answer; keeps the connection if it can carry another request. */
    private SoakRecord.Answer exchange(SoakRequest request, SoakConnection connection) throws IOException {
        var exchange = new Exchange(request, connection);
        SoakRecord.Answer answer = exchange.run();
        if (exchange.keepsConnection) {
            idle.addFirst(connection);
        } else {
            connection.close();
        }
        return answer;
    }

    /** One request and its answer on one connection. */
    private static final class Exchange {
        private final SoakRequest request;
        private final SoakConnection connection;
        private long sentNs = System.nanoTime();
        private long firstNs;
        private int status;
        private int bodyBytes;
        private boolean rightBody = true;
        private boolean keepsConnection;

        Exchange(SoakRequest request, SoakConnection connection) {
            this.request = request;
            this.connection = connection;
        }

        SoakRecord.Answer run() {
            SoakRecord.End end;
            try {
                end = sendAndRead();
            } catch (SocketTimeoutException e) {
                end = firstNs == 0 ? SoakRecord.End.SILENT : SoakRecord.End.BROKEN_OFF;
            } catch (IOException | RuntimeException e) {
                end = firstNs == 0 ? SoakRecord.End.CLOSED : SoakRecord.End.BROKEN_OFF;
            }
            boolean sound = status != 200 || end != SoakRecord.End.ANSWERED || rightBody && bodyBytes == request.plan().answerBytes();
            return new SoakRecord.Answer(request, end, status, sentNs, firstNs, System.nanoTime(), sound);
        }

        private SoakRecord.End sendAndRead() throws IOException {
            connection.send(request.head());
            IOException notTaken = null;
            try {
                if (request.bodyBytes() > 0) {
                    connection.send(new byte[request.bodyBytes()]);
                }
            } catch (IOException e) {
                // An answer may have come before the whole request was written.
                notTaken = e;
            }
            sentNs = System.nanoTime();
            connection.readUntil(sentNs + TimeUnit.MILLISECONDS.toNanos(request.waitMs() + (long) PATIENCE_MS));
            SoakConnection.Head head = connection.readHead();
            if (head == null) {
                return SoakRecord.End.CLOSED;
            }
            firstNs = System.nanoTime();
            status = head.status();
            connection.readUntil(firstNs + TimeUnit.MILLISECONDS.toNanos(LONG_ANSWER_MS));
            connection.readBody(head, this::check);
            boolean delimited = head.field("content-length") != null || head.field("transfer-encoding") != null;
            keepsConnection = notTaken == null && delimited && !"close".equalsIgnoreCase(head.field("connection"));
            connection.readUntil(Long.MAX_VALUE);
            return SoakRecord.End.ANSWERED;
        }

        private void check(byte[] bytes, int length) {
            for (int i = 0; i < length && status == 200; i++) {
                rightBody &= bytes[i] == SoakRequest.answerByte(request.id(), bodyBytes + i);
            }
            bodyBytes += length;
        }
    }
}
