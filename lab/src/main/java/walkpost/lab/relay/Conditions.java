package walkpost.lab.relay;

/**
 * What a way from one member to another is like.
 *
 * @param latencyUs how long whatever passes is under way, in microseconds
 * @param jitterUs the latency is varied evenly by up to so much, so that datagrams overtake each other
 * @param bytesPerS what passes one after the other; 0 for no limit
 * @param loss the share of datagrams that get lost; a stream loses nothing, it is late
 * @param duplication the share of datagrams that come twice
 */
public record Conditions(long latencyUs, long jitterUs, long bytesPerS, double loss, double duplication) {
    /** Nothing is late and nothing is lost. */
    public static final Conditions IDEAL = new Conditions(0, 0, 0, 0, 0);

    /** Refuses what no way can be like. */
    public Conditions {
        if (latencyUs < 0 || jitterUs < 0 || bytesPerS < 0 || !isShare(loss) || !isShare(duplication)) {
            throw new IllegalArgumentException("times and bytes below 0, or shares that are not from 0 to 1");
        }
    }

    private static boolean isShare(double share) {
        return share >= 0 && share <= 1;
    }
}
