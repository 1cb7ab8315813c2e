package walkpost.fleet.copy;

import java.util.List;
import java.util.Objects;
import walkpost.fleet.member.Life;

/**
 * What operators want. It never changes once it is made.
 *
 * @param id unique; the caller's, so that an order sent again is known for the same
 * @param version one more than the highest that it replaces
 * @param replaces the ids of all orders on that key that it puts an end to: the one that stood, and rivals that it settles
 * @param payload JSON on one line; null where it takes back what stood
 * @param before the payload that was acted on until then, as its issuer saw it: what holds on while rivals are not settled
 * @param issuer the member that took it from the operator
 */
public record Order(Key key, String id, long version, List<String> replaces, String payload, String before, Life issuer) {
    public Order {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(issuer, "issuer");
        replaces = List.copyOf(replaces);
    }

    /** What an order is about: {@code exclusion} of a server, {@code placement} of a listener, ... */
    public record Key(String topic, String subject) {
        public Key {
            Objects.requireNonNull(topic, "topic");
            Objects.requireNonNull(subject, "subject");
        }
    }
}
