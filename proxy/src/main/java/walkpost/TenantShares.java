package walkpost;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * A token bucket for each tenant that has a share: its tokens are the requests that the tenant may still send through this proxy within
 * its share. Used by the thread of its {@link Policy} only. All times are on the proxy's clock, in microseconds.
 */
final class TenantShares {
    private static final class Bucket {
        private final double tokensPerUs;
        private double tokens;
        private long updatedAt;

        Bucket(double tokensPerUs, Bucket previous) {
            this.tokensPerUs = tokensPerUs;
            this.tokens = previous == null ? 0 : previous.tokens;
            this.updatedAt = previous == null ? 0 : previous.updatedAt;
        }
    }

    private Map<String, Bucket> buckets = Map.of();
    private long burstUs;

    /** Applies the tenants of {@code settings}. Tokens are kept; a bucket holds at most what its rate yields in {@code burstUs}. */
    void configure(Balancer.Settings settings, long burstUs) {
        this.burstUs = burstUs;
        buckets = rebuild(buckets, settings.tenants(), Balancer.Tenant::name,
                (tenant, previous) -> new Bucket(tenant.quotaPerS() / 1e6 / settings.balancers(), previous));
    }

    boolean hasShare(String tenant) {
        return buckets.containsKey(tenant);
    }

    /**
     * Charges a request to its tenant and returns whether the tenant is over this proxy's part of its share. A request that the client
     * repeats costs no token, because it was charged when it came first.
     */
    boolean chargeIsOverShare(String tenant, boolean repeat, long now) {
        Bucket bucket = buckets.get(tenant);
        if (bucket == null) {
            return false;
        }
        bucket.tokens = Math.min(bucket.tokensPerUs * burstUs, bucket.tokens + bucket.tokensPerUs * (now - bucket.updatedAt));
        bucket.updatedAt = now;
        if (bucket.tokens < 1) {
            return true;
        }
        bucket.tokens -= repeat ? 0 : 1;
        return false;
    }

    /**
     * Returns a new map with one value for each item, made from the item and its value in {@code previous}. Looks each item up once, so
     * that the work grows with the number of items and not with its square.
     */
    static <T, K, V> Map<K, V> rebuild(Map<K, V> previous, List<T> items, Function<T, K> keyOf, BiFunction<T, V, V> newValue) {
        var next = new HashMap<K, V>(items.size() * 4 / 3 + 1);
        for (T item : items) {
            K key = keyOf.apply(item);
            next.put(key, newValue.apply(item, previous.get(key)));
        }
        return next;
    }
}
