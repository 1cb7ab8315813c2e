package walkpost.fleet.scale;

/** What proxies tell of themselves: an entry a second each, some 200 bytes of JSON, as one whose condition changes all the time does. */
final class Writers {
    private static final String TOPIC = "proxy";

    private final World world;
    private final long everyUs;
    private int told;

    Writers(World world, long everyUs) {
        this.world = world;
        this.everyUs = everyUs;
    }

    /** Each of these hosts tells from now on, whatever runs on it. */
    void start(Iterable<Host> hosts) {
        hosts.forEach(host -> world.agenda().after(world.agenda().draw(everyUs), () -> tell(host)));
    }

    private void tell(Host host) {
        world.agenda().after(everyUs, () -> tell(host));
        if (host.runs()) {
            told++;
            host.process().tell(TOPIC, host.name(), "{\"ready\":true,\"draining\":false,\"release\":\"0.2.0-20261202\",\"since\":\"2026-12-02T04:"
                    + "31:15Z\",\"listeners\":4,\"servers\":{\"in\":66,\"out\":1},\"budget\":0.25,\"memory\":0.61,\"loop\":0.18,\"pressure\":0,"
                    + "\"n\":" + told + "}");
        }
    }
}
