package walkpost.app;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** When orders came in force at the members of this process, by the clock of the day. Used by one thread. */
final class OrderTimes {
    /** So many orders are known, the last ones. */
    private static final int MOST_ORDERS = 1_000;

    private final Map<String, List<Long>> all = new LinkedHashMap<>();
    private final Map<String, List<Long>> news = new LinkedHashMap<>();

    /** An order has come in force at one more member. */
    void inForce(String order, long atMs) {
        all.computeIfAbsent(order, k -> new ArrayList<>()).add(atMs);
        news.computeIfAbsent(order, k -> new ArrayList<>()).add(atMs);
        if (all.size() > MOST_ORDERS) {
            all.remove(all.keySet().iterator().next());
        }
    }

    /** Tells what is new since the last time, an object an order. */
    void tellNews(int members, Consumer<ObjectNode> out) {
        news.forEach((order, times) -> {
            ObjectNode line = Hollow.line("in_force").put("order", order).put("members", members)
                    .put("held", all.getOrDefault(order, times).size());
            ArrayNode at = line.putArray("at_ms");
            times.forEach(at::add);
            out.accept(line);
        });
        news.clear();
    }

    /** Returns how far apart orders came in force at the members here, in milliseconds from the first of them. */
    ObjectNode spreads() {
        ObjectNode spreads = JsonNodeFactory.instance.objectNode();
        all.forEach((order, times) -> {
            List<Long> sorted = times.stream().sorted().toList();
            long first = sorted.get(0);
            spreads.putObject(order).put("held", sorted.size()).put("first_ms", first).put("p50_ms", rank(sorted, 0.5) - first)
                    .put("p99_ms", rank(sorted, 0.99) - first).put("most_ms", rank(sorted, 1) - first);
        });
        return spreads;
    }

    /** Returns the least value that a part of all does not exceed. */
    private static long rank(List<Long> sorted, double part) {
        return sorted.get(Math.max(0, (int) Math.ceil(part * sorted.size()) - 1));
    }
}
