package walkpost.fleet.member;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * What one member tells another of a third. Short field names: a dozen ride on each ping.
 *
 * @param incarnation of the life that it is about
 * @param by who found it out; those who share a suspicion are told apart by it. Null is let pass and counts as nobody
 */
public record News(@JsonProperty("n") String name, @JsonProperty("i") long incarnation, @JsonProperty("h") String host,
        @JsonProperty("p") int port, @JsonProperty("s") Standing standing, @JsonProperty("b") String by) {
    /** The longest name and host, in bytes of UTF-8: with these, a message's own fields stay under 500 bytes. */
    static final int LONGEST = 64;
    /**
     * Above this nothing is believed: whoever claimed more could no longer be outdone. An incarnation starts at the wall clock in ms
     * (some 2^41), so honest ones stay far below.
     */
    static final long HIGHEST = 1L << 60;
    /** What the fields take in CBOR, without the three texts: names of 2 bytes, heads, a long, a port, the longest standing. */
    private static final int FRAME = 42;

    static News of(Member member, String by) {
        return new News(member.life().name(), member.life().incarnation(), member.address().host(), member.address().port(),
                member.standing(), by);
    }

    Member member() {
        return new Member(new Life(name, incarnation), new Address(host, port), standing);
    }

    /** Returns the most that this takes in CBOR. */
    int bytes() {
        return FRAME + length(name) + length(host) + (by == null ? 0 : length(by));
    }

    boolean wellFormed() {
        return standing != null && (by == null || length(by) <= LONGEST)
                && wellFormed(new Life(name, incarnation), new Address(host, port));
    }

    static boolean wellFormed(Life life, Address at) {
        return life != null && at != null && life.incarnation() >= 0 && fits(life.name()) && fits(at.host())
                && at.port() > 0 && at.port() < 1 << 16;
    }

    private static boolean fits(String text) {
        return text != null && !text.isEmpty() && text.length() <= LONGEST && length(text) <= LONGEST;
    }

    private static int length(String text) {
        return text.chars().map(c -> c < 0x80 ? 1 : c < 0x800 ? 2 : 3).sum();
    }
}
