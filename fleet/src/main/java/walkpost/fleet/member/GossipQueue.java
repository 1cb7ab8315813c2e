package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * News to piggyback on outgoing messages (SWIM, section 4.1). Each piece of news is sent a number of times that grows with the logarithm
 * of the number of members; the least often sent news go first, as many as fit into a datagram. News that supersede older news of the
 * same name replace them; suspicions of one member by several accusers are separate news. Owned by one {@link Membership}; not
 * thread-safe.
 */
final class GossipQueue {
    /** Leaves space for the other fields of the message and the HMAC in a datagram of 1,200 bytes. */
    static final int MAX_NEWS_BYTES = 700;
    /** Beyond this length the most often sent news are dropped. */
    private static final int MAX_QUEUED = 4_096;

    private static final class QueuedNews {
        private final News news;
        private int transmissions;

        QueuedNews(News news) {
            this.news = news;
        }
    }

    private final int transmissionFactor;
    /** Sorted by the number of transmissions, lowest first. */
    private final List<QueuedNews> queue = new ArrayList<>();

    /** Creates an empty queue that sends each piece of news {@code transmissionFactor * ceil(log10(members + 1))} times. */
    GossipQueue(int transmissionFactor) {
        this.transmissionFactor = transmissionFactor;
    }

    void add(News news) {
        Member member = news.member();
        queue.removeIf(queued -> queued.news.name().equals(news.name())
                && (MemberTable.supersedes(member, queued.news.member()) || queued.news.equals(news)));
        queue.add(0, new QueuedNews(news));
        if (queue.size() > MAX_QUEUED) {
            queue.remove(MAX_QUEUED);
        }
    }

    /**
     * Selects the news for one message and counts their transmission.
     *
     * @param first news that the receiver must get in any case, or null
     * @param members the number of living members, which determines how often each piece of news is sent
     */
    List<News> take(News first, int members) {
        List<News> selected = new ArrayList<>();
        int bytesLeft = MAX_NEWS_BYTES;
        if (first != null) {
            selected.add(first);
            bytesLeft -= first.maxCborBytes();
        }
        int maxTransmissions = transmissionFactor * (int) Math.ceil(Math.log10(members + 1.0));
        for (QueuedNews queued : queue) {
            if (bytesLeft < News.MAX_TEXT_BYTES) {
                break;
            }
            if (queued.news.maxCborBytes() <= bytesLeft && !queued.news.equals(first)) {
                selected.add(queued.news);
                bytesLeft -= queued.news.maxCborBytes();
                queued.transmissions++;
            }
        }
        queue.removeIf(queued -> queued.transmissions >= maxTransmissions);
        queue.sort(Comparator.comparingInt(queued -> queued.transmissions));
        return selected;
    }
}
