package walkpost.app;

import com.sun.management.UnixOperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The descriptors of this process.
 *
 * @param open how many it has now
 * @param allowed how many it may have: the virtual machine has raised its own limit as far as it may already
 */
record Descriptors(long open, long allowed) {
    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String FILES = "Max open files";

    /**
     * Returns them as they are now.
     *
     * @throws IOException if the kernel does not say
     */
    static Descriptors now() throws IOException {
        for (String line : Files.readAllLines(LIMITS)) {
            if (line.startsWith(FILES)) {
                String soft = line.substring(FILES.length()).strip().split("\\s+")[0];
                return new Descriptors(openNow(), soft.equals("unlimited") ? Long.MAX_VALUE : Long.parseLong(soft));
            }
        }
        throw new IOException(LIMITS + ": no line of '" + FILES + "'");
    }

    /** Returns how many are open now. */
    static long openNow() {
        return ManagementFactory.getPlatformMXBean(UnixOperatingSystemMXBean.class).getOpenFileDescriptorCount();
    }
}
