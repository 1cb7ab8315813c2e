package walkpost.lab.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Judges the record of a soak by the rules of the service.
 *
 * @param broken what breaks a rule, a line each
 * @param unjudged the findings that are left out because the soak itself was held up at that time
 * @param p99Ms the 99th percentile of the time of sound clients' small requests that were served
 */
record SoakVerdict(SoakPlan plan, List<String> broken, int unjudged, int requests, int served, int refused, int failed, int late, int unreached,
        double p99Ms, long peakMemoryKb, long peakMemoryOfOneKb, int peakDescriptors, Map<String, Integer> crowdAnswers) {
    /** A final answer may come this long after its time. */
    private static final long ANSWER_SLACK_MS = 550;
    /** An attempt may begin this long after its client's close, with the slack of the protocol page. */
    private static final long ATTEMPT_AFTER_CLOSE_MS = 150;
    /** The least memory limit that a JVM with the flags of {@code run} can keep to; below it only the peak is told. */
    private static final int JUDGED_MEMORY_MB = 144;
    /** How long before or after the end of its process is seen an answer may break off. */
    private static final long END_OF_PROCESS_SLACK_MS = 250;
    private static final int REFUSED_STATUS = 503;
    private static final int TOO_MANY_STATUS = 429;

    static SoakVerdict of(SoakPlan plan, SoakRecord record) {
        var judge = new Judge(plan, record);
        judge.judgeAnswers();
        judge.judgeRuns();
        judge.judgeLeavers();
        judge.judgeCutOffs();
        judge.judgePeers();
        judge.judgeProcess();
        return judge.verdict();
    }

    boolean isKept() {
        return broken.isEmpty();
    }

    String line() {
        return String.format(Locale.ROOT, "seed %d: %s; %d requests, %d served, %d refused, %d failed, %d late, %d unreached, p99 %.0f ms; "
                + "%d not judged; peak %d MB (one process %d), %d descriptors; crowds %s", plan.seed(), isKept() ? "kept" : "broken " + brokenByRule(),
                requests, served, refused, failed, late, unreached, p99Ms, unjudged, peakMemoryKb / 1024, peakMemoryOfOneKb / 1024, peakDescriptors,
                crowdAnswers);
    }

    private Map<String, Long> brokenByRule() {
        return broken.stream().collect(Collectors.groupingBy(line -> line.substring(0, line.indexOf(':')), TreeMap::new,
                Collectors.counting()));
    }

    /** Collects the findings. */
    private static final class Judge {
        private final SoakPlan plan;
        private final SoakRecord record;
        private final List<String> broken = new ArrayList<>();
        private final List<Double> smallMs = new ArrayList<>();
        private int unjudged;
        private int served;
        private int refused;
        private int failed;
        private int late;
        private int unreached;
        private long peakKb;
        private long peakOfOneKb;
        private int peakDescriptors;

        Judge(SoakPlan plan, SoakRecord record) {
            this.plan = plan;
            this.record = record;
        }

        void judgeAnswers() {
            for (SoakRecord.Answer answer : record.answers) {
                judge(answer);
            }
        }

        private void judge(SoakRecord.Answer answer) {
            SoakRequest request = answer.request();
            boolean ran = record.runs().containsKey(request.id());
            double ms = (timedNs(answer) - answer.sentNs()) / 1e6;
            boolean overdue = ms > request.waitMs() + ANSWER_SLACK_MS;
            switch (answer.end()) {
                case UNREACHED -> unreached++;
                case SILENT -> timedFinding(answer.sentNs(), answer.endNs(), lost(answer, "no answer"));
                case CLOSED -> {
                    unreached++;
                    if (ran || !plan.has(SoakPlan.Act.RESTART) && !plan.has(SoakPlan.Act.UPGRADE)) {
                        broken.add(lost(answer, "closed without an answer" + (ran ? ", though it ran" : "")));
                    }
                }
                case BROKEN_OFF -> {
                    failed++;
                    if (!isCutByEndOfProcess(answer)) {
                        broken.add(lost(answer, "the answer broke off"));
                    }
                }
                case ANSWERED -> {
                    if (overdue) {
                        timedFinding(answer.sentNs(), answer.endNs(), lost(answer, "the answer came late"));
                    } else if (!answer.sound()) {
                        broken.add(lost(answer, "the answer is not the one that its server gave"));
                    }
                    count(answer, ms);
                    if (isRefusal(answer.status()) && ran && request.effect() == SoakSettings.Effect.UNSAFE) {
                        broken.add("refusal: " + request.id() + " was refused though it ran and must not be repeated");
                    }
                }
            }
        }

        /** Adds a finding that lateness of the soak itself between two times could have caused, unless it was held up then. */
        private void timedFinding(long fromNs, long toNs, String finding) {
            if (record.isStalled(fromNs, toNs)) {
                unjudged++;
            } else {
                broken.add(finding);
            }
        }

        /** An answer that takes longer than a process may live after SIGTERM can't be finished, whoever relays it. */
        private boolean isCutByEndOfProcess(SoakRecord.Answer answer) {
            return answer.request().firstByteIsTimed() && record.orderlyEnds.stream().anyMatch(end ->
                    Math.abs(answer.endNs() - end.atNs()) < TimeUnit.MILLISECONDS.toNanos(END_OF_PROCESS_SLACK_MS));
        }

        private static long timedNs(SoakRecord.Answer answer) {
            return answer.request().firstByteIsTimed() && answer.status() == 200 ? answer.firstNs() : answer.endNs();
        }

        private static boolean isRefusal(int status) {
            return status == REFUSED_STATUS || status == TOO_MANY_STATUS;
        }

        private void count(SoakRecord.Answer answer, double ms) {
            if (ms > answer.request().waitMs()) {
                late++;
            } else if (answer.status() == 200) {
                served++;
                if (!answer.request().firstByteIsTimed() && answer.request().plan().takeMs() == 0) {
                    smallMs.add(ms);
                }
            } else if (isRefusal(answer.status())) {
                refused++;
            } else {
                failed++;
            }
        }

        private String lost(SoakRecord.Answer answer, String what) {
            return String.format(Locale.ROOT, "lost: %s (%s, %d bytes sent, %s) %s: status %d, first byte after %.0f ms, end after %.0f ms of %d",
                    answer.request().id(), answer.request().effect(), answer.request().bodyBytes(), answer.request().plan(), what,
                    answer.status(), answer.firstNs() == 0 ? -1 : (answer.firstNs() - answer.sentNs()) / 1e6,
                    (answer.endNs() - answer.sentNs()) / 1e6, answer.request().waitMs());
        }

        /** A request that must not be repeated runs at most once, and so does a keyed one whose id its client sends again. */
        void judgeRuns() {
            record.runs().forEach((id, runs) -> {
                SoakRequest request = record.requests.get(id);
                if (request == null) {
                    broken.add("duplicate: " + id + " ran, though no client sent it as a request of its own");
                } else if (runs.size() > 1 && request.effect() != SoakSettings.Effect.SAFE) {
                    boolean repeatedByClient = id.startsWith("i");
                    if (request.effect() == SoakSettings.Effect.UNSAFE || repeatedByClient) {
                        broken.add("duplicate: " + id + " (" + request.effect() + ") ran " + runs.size() + " times");
                    }
                }
            });
        }

        void judgeLeavers() {
            record.left().forEach((id, left) -> {
                for (long begunNs : record.begun().getOrDefault(id, List.of())) {
                    long afterMs = TimeUnit.NANOSECONDS.toMillis(begunNs - left.atNs());
                    if (afterMs > ATTEMPT_AFTER_CLOSE_MS) {
                        timedFinding(left.atNs(), begunNs, "lost: an attempt of " + id + " (" + record.requests.get(id).bodyBytes()
                                + " bytes) began " + afterMs + " ms after its client had closed, "
                                + TimeUnit.NANOSECONDS.toMillis(left.atNs() - record.startNs()) + " ms after the start");
                    }
                }
            });
        }

        /** A sound answer of more than 64 KiB to a client that reads is not cut off. */
        void judgeCutOffs() {
            for (SoakRecord.CutOff cut : record.cutOffs) {
                if (record.answers.stream().anyMatch(answer -> answer.request().id().equals(cut.id()) && isCutByEndOfProcess(answer))) {
                    continue;
                }
                SoakRequest request = record.requests.get(cut.id());
                boolean given = record.answers.stream().anyMatch(answer -> answer.request().id().equals(cut.id())
                        && answer.status() == 200 && answer.end() == SoakRecord.End.ANSWERED);
                if (request != null && request.id().startsWith("c") && request.firstByteIsTimed() && !given) {
                    broken.add("lost: the answer to " + cut.id() + " (" + request.plan() + ", waits " + request.waitMs()
                            + " ms) was cut off after " + cut.givenBytes() + " bytes");
                }
            }
        }

        void judgePeers() {
            long owedNs = TimeUnit.MILLISECONDS.toNanos(UnsoundClients.OWED_MS + (long) UnsoundClients.OWED_SLACK_MS);
            record.unanswered.forEach(peer -> timedFinding(peer.sinceNs(), peer.sinceNs() + owedNs,
                    "peer: " + peer.behaviour() + " got neither an error nor a close in time"));
        }

        void judgeProcess() {
            record.ends.forEach(end -> broken.add("crash: a process ended by itself: " + end.lastWords()));
            for (SoakRecord.Use use : record.uses) {
                peakKb = Math.max(peakKb, use.memoryKb());
                peakDescriptors = Math.max(peakDescriptors, use.descriptors());
                if (use.processes() == 1) {
                    peakOfOneKb = Math.max(peakOfOneKb, use.memoryKb());
                }
            }
            if (plan.memoryMb() >= JUDGED_MEMORY_MB && !plan.has(SoakPlan.Act.UPGRADE) && peakOfOneKb / 1024 > plan.memoryMb()) {
                broken.add("memory: " + peakOfOneKb / 1024 + " MB of " + plan.memoryMb());
            }
            if (peakDescriptors > plan.sockets()) {
                broken.add("descriptors: " + peakDescriptors + " of " + plan.sockets());
            }
        }

        SoakVerdict verdict() {
            double[] sorted = smallMs.stream().mapToDouble(Double::doubleValue).toArray();
            Arrays.sort(sorted);
            double p99 = sorted.length == 0 ? 0 : sorted[(int) Math.min(sorted.length - 1, Math.floor(sorted.length * 0.99))];
            return new SoakVerdict(plan, List.copyOf(broken), unjudged, record.answers.size(), served, refused, failed, late, unreached, p99, peakKb,
                    peakOfOneKb, peakDescriptors, new TreeMap<>(record.crowdAnswers));
        }
    }
}
