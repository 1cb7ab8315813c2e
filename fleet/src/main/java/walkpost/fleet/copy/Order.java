package walkpost.fleet.copy;

import java.util.List;
import java.util.Objects;
import walkpost.fleet.member.Life;

/**
 * An operator's order for one key. Immutable: a new order replaces it.
 *
 * @param id unique; chosen by the caller, so that an order sent again is recognized as the same one
 * @param version one more than the highest version that it replaces
 * @param replaces the ids of all orders on the key that it replaces: the one in force, and the rivals that it settles
 * @param payload JSON on one line; null if the order revokes the one in force
 * @param before the payload that was in effect before, as its issuer saw it; it stays in effect while rivals are not settled
 * @param issuer the member that took the order from the operator
 */
public record Order(Key key, String id, long version, List<String> replaces, String payload, String before, Life issuer) {
    public Order {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(issuer, "issuer");
        replaces = List.copyOf(replaces);
    }

    /** The topic and subject of an order, such as the {@code exclusion} of a server or the {@code placement} of a listener. */
    public record Key(String topic, String subject) {
        public Key {
            Objects.requireNonNull(topic, "topic");
            Objects.requireNonNull(subject, "subject");
        }
    }
}
