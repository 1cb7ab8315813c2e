package walkpost.lab.client;

/**
 * Who is admitted: a proxy that has said once that it is ready, until it has not said so for the time that the front takes
 * to notice. A pure model on a given clock, used by any thread.
 */
public final class Front {
    private final long noticeUs;
    private final boolean[] admitted;
    private final long[] goodAt;

    /** Creates a front that knows nobody yet. */
    public Front(int proxies, long noticeUs) {
        this.noticeUs = noticeUs;
        admitted = new boolean[proxies];
        goodAt = new long[proxies];
    }

    /** Takes in what a proxy said when asked whether it is ready; returns whether that changes who is admitted. */
    public synchronized boolean asked(long nowUs, int proxy, boolean ready) {
        boolean before = admitted[proxy];
        if (ready) {
            admitted[proxy] = true;
            goodAt[proxy] = nowUs;
        } else if (nowUs - goodAt[proxy] >= noticeUs) {
            admitted[proxy] = false;
        }
        return admitted[proxy] != before;
    }

    /** Returns the proxy at a part of the way through those admitted, from 0 to 1, or -1 where nobody is. */
    public synchronized int pick(double part) {
        int count = admittedCount();
        int left = Math.min(count - 1, (int) (part * count));
        for (int i = 0; i < admitted.length; i++) {
            if (admitted[i] && left-- == 0) {
                return i;
            }
        }
        return -1;
    }

    /** Returns how many are admitted. */
    public synchronized int admittedCount() {
        int count = 0;
        for (boolean one : admitted) {
            count += one ? 1 : 0;
        }
        return count;
    }}
