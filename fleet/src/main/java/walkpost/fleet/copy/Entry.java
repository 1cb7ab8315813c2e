package walkpost.fleet.copy;

import java.util.Objects;

/**
 * A replicated entry with one writer: the member that it is about, or that observed its content. Of two entries with the same key the one
 * with the higher (incarnation, version) wins. If a faulty writer gives two payloads the same version, the greater payload wins on all
 * members.
 *
 * @param incarnation the writer's incarnation at the time of writing
 * @param version increases within an incarnation
 * @param payload JSON on one line; null if the entry is withdrawn
 * @param ageUs the time since the writer observed the content: the time spent at each member on the way, by its monotonic clock, and
 *     the round trip of each hop as an upper bound of its transit time. Not part of the order of versions
 */
public record Entry(Key key, long incarnation, long version, String payload, long ageUs) {
    public Entry {
        Objects.requireNonNull(key, "key");
    }

    /** The topic and subject of an entry, and the name of its writer. */
    public record Key(String topic, String subject, String writer) {
        public Key {
            Objects.requireNonNull(topic, "topic");
            Objects.requireNonNull(subject, "subject");
            Objects.requireNonNull(writer, "writer");
        }
    }
}
