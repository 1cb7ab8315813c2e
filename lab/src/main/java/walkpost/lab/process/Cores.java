package walkpost.lab.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * How the machine's cores are shared out between the lab and the proxies, where there are some to spare. A thread of the lab
 * that wakes up on a proxy's core may wait there for that proxy's turn to end, and the lab is late.
 */
public final class Cores {
    private static final int LAB = 2;
    private static final String ALLOWED = "Cpus_allowed_list:";
    /** The numbers of the cores that the lab may use, as it is when it begins: it may have been given some of the machine's only. */
    private static final List<Integer> CORES = mine();
    private static final int ALL = CORES.size();

    /** Plays that go on at the same time begin at different cores. */
    private static final int SPREAD = 97;

    private Cores() { }

    private static List<Integer> mine() {
        // The virtual machine counts no more than it may use, also where a quota rather than a mask says how many.
        int count = Runtime.getRuntime().availableProcessors();
        List<Integer> all = IntStream.range(0, count).boxed().toList();
        try {
            for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
                if (line.startsWith(ALLOWED)) {
                    List<Integer> allowed = listed(line.substring(ALLOWED.length()).strip());
                    return allowed.size() < count ? all : allowed.subList(0, count);
                }
            }
        } catch (IOException | NumberFormatException e) {
            return all;
        }
        return all;
    }

    /** Reads the kernel's way to list cores, such as {@code 0-2,5}. */
    static List<Integer> listed(String text) {
        return Arrays.stream(text.split(",")).flatMap(part -> {
            String[] ends = part.split("-");
            return IntStream.rangeClosed(Integer.parseInt(ends[0]), Integer.parseInt(ends[ends.length - 1])).boxed();
        }).toList();
    }

    /** Returns the number, for {@link #of}, of the first proxy of the play in a folder. */
    static int first(Path play) {
        return Math.floorMod(play.hashCode(), SPREAD);
    }

    /** Returns the core of a process of a number. */
    static int of(int number) {
        return CORES.get(ALL > LAB ? LAB + number % (ALL - LAB) : number % ALL);
    }

    /**
     * Keeps this process off the cores of a play's proxies. Those that have none are left to it: what compiles its code
     * would otherwise be in the way of what sends requests.
     *
     * @throws IOException if that can't be had
     */
    public static void keepLabOff(Path play, int proxies) throws IOException {
        if (ALL <= LAB) {
            return;
        }
        Set<Integer> theirs = IntStream.range(0, proxies).mapToObj(n -> of(first(play) + n)).collect(Collectors.toSet());
        String ours = CORES.stream().filter(core -> !theirs.contains(core)).map(core -> Integer.toString(core))
                .collect(Collectors.joining(","));
        Process set = new ProcessBuilder("taskset", "-a", "-c", "-p", ours, Long.toString(ProcessHandle.current().pid()))
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
        try {
            if (set.waitFor() != 0) {
                throw new IOException("taskset does not keep the lab to its cores: status " + set.exitValue());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
