package walkpost.fleet.copy;

import java.util.Objects;

/**
 * An entry with one writer: the member it is about, or that saw it. Of two facts with one key the one with the higher (incarnation,
 * version) holds; should a faulty writer give two payloads one version, the greater payload does, everywhere.
 *
 * @param incarnation the writer's, when it wrote
 * @param version counts up within an incarnation
 * @param payload JSON on one line; null where the fact is withdrawn
 * @param ageUs how long ago it was seen, by the monotonic clocks along its way: time held at each member, and the round trip of
 *     each hop as an upper bound of the way. Part of no comparison
 */
public record Fact(Key key, long incarnation, long version, String payload, long ageUs) {
    public Fact {
        Objects.requireNonNull(key, "key");
    }

    /** What a fact is about, and who says so. */
    public record Key(String topic, String subject, String writer) {
        public Key {
            Objects.requireNonNull(topic, "topic");
            Objects.requireNonNull(subject, "subject");
            Objects.requireNonNull(writer, "writer");
        }
    }
}
