package walkpost.proxy;

import java.util.Random;

/** What happens to calls while a simulated discovery is in trouble. */
enum DiscoveryFault {
    REJECTED, REJECTED_AFTER_TWO_SECONDS, CLOSED, CLOSED_LATE, REFUSED, NO_CONNECTION, SILENT, BROKEN_OFF, BROKEN_OFF_LATE,
    NO_DESCRIPTOR,
    /** Each call meets another of the faults above. */
    MIXED;

    private static final int MAX_LATE_MS = 2_000;

    boolean endsAtOnce() {
        return this == REJECTED || this == CLOSED || this == REFUSED || this == BROKEN_OFF;
    }

    /** Lets a call fail in this way; what is random is drawn from {@code random}. */
    void fail(ListClientSimulation.Call call, Random random) {
        switch (this) {
            case REJECTED -> call.failAfter(1, CallFailure.REJECTED);
            case REJECTED_AFTER_TWO_SECONDS -> call.failAfter(2_000, CallFailure.REJECTED);
            case CLOSED -> call.failAfter(1, CallFailure.ENDED_UNANSWERED);
            case CLOSED_LATE -> call.failAfter(random.nextInt(MAX_LATE_MS), CallFailure.ENDED_UNANSWERED);
            case REFUSED -> call.failAfter(1, CallFailure.UNREACHABLE);
            case NO_CONNECTION -> call.failAfter(call.connectTimeoutMs, CallFailure.UNREACHABLE);
            case BROKEN_OFF -> call.failAfter(1, CallFailure.BROKEN_ANSWER);
            case BROKEN_OFF_LATE -> call.failAfter(random.nextInt(MAX_LATE_MS), CallFailure.BROKEN_ANSWER);
            case NO_DESCRIPTOR -> call.failAfter(1, CallFailure.LOCAL);
            case MIXED -> values()[random.nextInt(MIXED.ordinal())].fail(call, random);
            default -> { }
        }
    }
}
