package walkpost.lab.discovery;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/** The list as it is written to one proxy, with the addresses at which that proxy reaches the servers. */
final class Listing {
    /** Where a proxy reaches a place. */
    interface Addresses {
        InetSocketAddress of(int proxy, int place);
    }

    private final Addresses addresses;
    private final UniformRandomProvider oddity;

    /** Creates one; with random numbers, lists are odd but legal. */
    Listing(Addresses addresses, UniformRandomProvider oddity) {
        this.addresses = addresses;
        this.oddity = oddity;
    }

    /** Returns news in discovery's form. */
    ObjectNode json(Registry.News news, int proxy) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("version", news.version()).put("full", news.full());
        ArrayNode servers = json.putArray("servers");
        List<Entry> entries = new ArrayList<>(news.entries());
        if (oddity != null) {
            // Any order, some told twice: all of it means the same.
            ListSampler.shuffle(oddity, entries);
            if (!entries.isEmpty()) {
                entries.add(entries.get(oddity.nextInt(entries.size())));
            }
        }
        for (Entry entry : entries) {
            InetSocketAddress address = addresses.of(proxy, entry.place());
            ObjectNode line = servers.addObject().put("id", entry.id())
                    .put("addr", address.getAddress().getHostAddress() + ":" + address.getPort()).put("zone", entry.zone())
                    .put("kind", entry.kind()).put("cell", entry.cell())
                    .put("state", entry.state().name().toLowerCase(Locale.ROOT)).put("weight", entry.weight())
                    .put("started_ms", entry.startedMs());
            if (oddity != null) {
                line.putObject("rack").put("row", oddity.nextInt(9)).putArray("tags").add("x");
            }
        }
        return json;
    }
}
