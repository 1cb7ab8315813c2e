package walkpost.fleet.shell;

import io.netty.channel.Channel;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds what the unfinished frames of all connections hold in sum, because anyone may connect and nothing of a frame can be checked before
 * it is whole. Where there is too much, the connection whose frame has been unfinished for longest is closed. Owned by the event loop that
 * all these connections share.
 */
final class FrameMemory {
    /** Bytes: four of the longest messages. The process has 48 MiB of direct memory, most of which serving needs. */
    static final long MOST = 4L * Codec.MOST;

    private final Counters counters;
    /** The unfinished frames and what each holds, the oldest first. */
    private final Map<Channel, Integer> unfinished = new LinkedHashMap<>();
    private long held;

    FrameMemory(Counters counters) {
        this.counters = counters;
    }

    /** Notes what the unfinished frame of a connection holds now; 0 if it has none. */
    void hold(Channel channel, int bytes) {
        Integer before = bytes == 0 ? unfinished.remove(channel) : unfinished.put(channel, bytes);
        held += bytes - (before == null ? 0 : before);
        while (held > MOST) {
            Channel longest = unfinished.keySet().iterator().next();
            held -= unfinished.remove(longest);
            counters.dropped("frame_memory");
            longest.close();
        }
    }

    /** Returns the bytes that are held now. */
    long held() {
        return held;
    }
}
