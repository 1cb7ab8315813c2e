package walkpost.proxy;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * Retries a step of the start that failed because of a transient error, such as a lack of descriptors or memory. An error in the
 * configuration is thrown at once. Used by one thread at a time.
 */
final class StartupRetry {
    /** How long to retry. A process must be ready within 30 s, and nine in ten within 6 s. */
    static final long TIMEOUT_MS = 3_000;
    private static final long RETRY_DELAY_MS = 20;
    /**
     * Texts that EADDRNOTAVAIL, EACCES and ENOENT leave in an exception's class name or message: the configuration names a wrong
     * address or file.
     */
    private static final List<String> CONFIGURATION_ERRORS = List.of("cannot assign requested address", "permission denied",
            "no such file", "accessdenied", "nosuchfile");

    private final EventLog log = new EventLog("serve");
    private final long latestNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);

    /**
     * Calls an action until it succeeds, and returns its result.
     *
     * @param step the name of the step in the log
     * @throws Exception the last failure, if the configuration is wrong or the time for retries is over
     */
    <T> T callWithRetry(String step, Callable<T> action) throws Exception {
        while (true) {
            try {
                return action.call();
            } catch (Exception e) {
                if (isConfigurationError(e) || System.nanoTime() >= latestNs) {
                    throw e;
                }
                log.warn("start_step_failed", "step", step, "reason", e, "again_in_ms", RETRY_DELAY_MS);
                Thread.sleep(RETRY_DELAY_MS);
            }
        }
    }

    private static boolean isConfigurationError(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            String text = cause.toString().toLowerCase(Locale.ROOT);
            if (CONFIGURATION_ERRORS.stream().anyMatch(text::contains)) {
                return true;
            }
        }
        return false;
    }
}
