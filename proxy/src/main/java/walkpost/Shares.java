package walkpost;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;

/** What each tenant may still send through this proxy as part of its share. */
final class Shares {
    private static final class Quota {
        private final double perUs;
        private double left;
        private long at;

        Quota(double perUs, Quota before) {
            this.perUs = perUs;
            this.left = before == null ? 0 : before.left;
            this.at = before == null ? 0 : before.at;
        }
    }

    private Map<String, Quota> quotas = Map.of();
    private long saveUpUs;

    /** Takes the tenants of {@code settings} over; what one has left still holds, for up to {@code saveUs} of its rate. */
    void tune(Balancer.Settings settings, long saveUs) {
        saveUpUs = saveUs;
        quotas = carriedOver(quotas, settings.tenants(), Balancer.Tenant::name,
                (tenant, before) -> new Quota(tenant.quotaPerS() / 1e6 / settings.balancers(), before));
    }

    boolean entitles(String tenant) {
        return quotas.containsKey(tenant);
    }

    /** Returns whether a tenant is past this proxy's part of its share; a repeat was counted before. */
    boolean over(String tenant, boolean repeat, long now) {
        Quota quota = quotas.get(tenant);
        if (quota == null) {
            return false;
        }
        quota.left = Math.min(quota.perUs * saveUpUs, quota.left + quota.perUs * (now - quota.at));
        quota.at = now;
        if (quota.left < 1) {
            return true;
        }
        quota.left -= repeat ? 0 : 1;
        return false;
    }

    /** Returns a map anew, each value made of its item and what was there before: one look-up an item, however many there are. */
    static <T, K, V> Map<K, V> carriedOver(Map<K, V> before, List<T> items, Function<T, K> key, BiFunction<T, V, V> value) {
        var next = new HashMap<K, V>(items.size() * 4 / 3 + 1);
        for (T item : items) {
            K name = key.apply(item);
            next.put(name, value.apply(item, before.get(name)));
        }
        return next;
    }
}
