package walkpost.fleet.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * News to be told on with whatever message goes out: each some log n times, those told least first, as many as fit into a datagram
 * (SWIM, section 4.1). Newer news of a name take the place of older; that several suspect one is several news. Owned by one
 * {@link Membership}.
 */
final class Gossip {
    /** So many bytes of news a message, which leaves room for its own fields and the HMAC in 1,200. */
    static final int ROOM = 700;
    /** More news than that are not kept; those told most often go first. */
    private static final int MOST = 4_096;

    private static final class Rumour {
        private final News news;
        private int told;

        Rumour(News news) {
            this.news = news;
        }
    }

    private final int tellings;
    /** Sorted by how often they were told. */
    private final List<Rumour> rumours = new ArrayList<>();

    Gossip(int tellings) {
        this.tellings = tellings;
    }

    void add(News news) {
        Member member = news.member();
        rumours.removeIf(r -> r.news.name().equals(news.name()) && (Roster.outdoes(member, r.news.member()) || r.news.equals(news)));
        rumours.add(0, new Rumour(news));
        if (rumours.size() > MOST) {
            rumours.remove(MOST);
        }
    }

    /**
     * Takes out what is to ride on one message.
     *
     * @param first what the receiver must hear of itself, told whatever else is; null for nothing
     * @param members how many live, which says how often each is told
     */
    List<News> take(News first, int members) {
        List<News> taken = new ArrayList<>();
        int room = ROOM;
        if (first != null) {
            taken.add(first);
            room -= first.bytes();
        }
        int enough = tellings * (int) Math.ceil(Math.log10(members + 1.0));
        for (Rumour rumour : rumours) {
            if (room < News.LONGEST) {
                break;
            }
            if (rumour.news.bytes() <= room && !rumour.news.equals(first)) {
                taken.add(rumour.news);
                room -= rumour.news.bytes();
                rumour.told++;
            }
        }
        rumours.removeIf(r -> r.told >= enough);
        rumours.sort(Comparator.comparingInt(r -> r.told));
        return taken;
    }
}
