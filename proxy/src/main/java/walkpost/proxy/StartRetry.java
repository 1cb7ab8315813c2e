package walkpost.proxy;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Makes a step of a start again that failed for a moment, such as for want of a descriptor or of memory. What is wrong in the
 * configuration fails at once.
 */
final class StartRetry {
    /** A process may take 30 s to be ready, and nine in ten 6 s. */
    static final long LONGEST_MS = 3_000;
    private static final long AGAIN_MS = 20;
    /** Messages of EADDRNOTAVAIL, EACCES and ENOENT: an address or a file that is named wrongly. */
    private static final List<String> CONFIGURATION = List.of("cannot assign requested address", "permission denied",
            "no such file", "accessdenied", "nosuchfile");

    private final Log log = new Log("serve");
    private final long latestNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_MS);

    /**
     * Takes a step until it succeeds.
     *
     * @param step its name, for the log
     * @throws Exception what it failed with, at last or for good
     */
    <T> T untilDone(String step, Callable<T> action) throws Exception {
        while (true) {
            try {
                return action.call();
            } catch (Exception e) {
                if (isConfiguration(e) || System.nanoTime() >= latestNs) {
                    throw e;
                }
                log.warn("start_step_failed", "step", step, "reason", e, "again_in_ms", AGAIN_MS);
                Thread.sleep(AGAIN_MS);
            }
        }
    }

    private static boolean isConfiguration(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            String text = cause.toString().toLowerCase(Locale.ROOT);
            if (CONFIGURATION.stream().anyMatch(text::contains)) {
                return true;
            }
        }
        return false;
    }
}
