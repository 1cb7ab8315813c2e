package walkpost.fleet.member;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A claim about the state of a member, as members send it to each other. Its field names are short because a dozen claims are piggybacked
 * on each ping.
 *
 * @param incarnation the incarnation of the member that the claim is about
 * @param by the member that made the observation, by which the accusers of a suspected member are told apart. Null is valid and counts
 *     as no accuser
 */
public record News(@JsonProperty("n") String name, @JsonProperty("i") long incarnation, @JsonProperty("h") String host,
        @JsonProperty("p") int port, @JsonProperty("s") Standing standing, @JsonProperty("b") String by) {
    /** The longest name and host in UTF-8. With this limit a message's fields other than its news take less than 500 bytes. */
    static final int MAX_TEXT_BYTES = 64;
    /**
     * News with higher incarnations are rejected, because a member with such an incarnation could hardly be superseded any more. A first
     * incarnation is the wall clock in milliseconds (about 2^41), so that honest incarnations stay far below this.
     */
    static final long MAX_INCARNATION = 1L << 60;
    /** The size in CBOR without the three texts: 2 bytes for each field name, the headers, a long, a port and the longest standing. */
    private static final int FRAME_BYTES = 42;

    static News of(Member member, String by) {
        return new News(member.life().name(), member.life().incarnation(), member.address().host(), member.address().port(),
                member.standing(), by);
    }

    Member member() {
        return new Member(new Life(name, incarnation), new Address(host, port), standing);
    }

    /** Returns an upper bound for the size in CBOR. */
    int maxCborBytes() {
        return FRAME_BYTES + utf8Length(name) + utf8Length(host) + (by == null ? 0 : utf8Length(by));
    }

    boolean isWellFormed() {
        return standing != null && (by == null || utf8Length(by) <= MAX_TEXT_BYTES)
                && isWellFormed(new Life(name, incarnation), new Address(host, port));
    }

    static boolean isWellFormed(Life life, Address address) {
        return life != null && address != null && life.incarnation() >= 0 && isValidText(life.name()) && isValidText(address.host())
                && address.port() > 0 && address.port() < 1 << 16;
    }

    private static boolean isValidText(String text) {
        return text != null && !text.isEmpty() && text.length() <= MAX_TEXT_BYTES && utf8Length(text) <= MAX_TEXT_BYTES;
    }

    private static int utf8Length(String text) {
        return text.chars().map(codeUnit -> codeUnit < 0x80 ? 1 : codeUnit < 0x800 ? 2 : 3).sum();
    }
}
