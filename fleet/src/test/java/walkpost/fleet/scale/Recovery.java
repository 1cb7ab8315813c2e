package walkpost.fleet.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** When, after some trouble, something held for each of some members for the first time. Looked at twice a second. */
record Recovery(List<Double> sortedMs, int of) {
    static final String HEAD = """
            | after | members | 50% of them | 99% | all | never in the time |
            | --- | --- | --- | --- | --- | --- |""";
    private static final long LOOK_US = Agenda.S / 2;

    /** Plays until all hold for all of these members that run or are to run, or the time is over. */
    static Map<String, Recovery> watch(World world, long mostUs, Predicate<Host> of, Map<String, Predicate<Process>> what) {
        long fromUs = world.nowUs();
        List<Host> hosts = world.hosts().stream().filter(of).toList();
        Map<String, List<Host>> open = new LinkedHashMap<>();
        Map<String, Recovery> found = new LinkedHashMap<>();
        what.keySet().forEach(name -> {
            open.put(name, new ArrayList<>(hosts));
            found.put(name, new Recovery(new ArrayList<>(), hosts.size()));
        });
        while (world.nowUs() - fromUs < mostUs && open.values().stream().anyMatch(left -> !left.isEmpty())) {
            world.agenda().play(LOOK_US);
            double ms = (world.nowUs() - fromUs) / 1e3;
            open.forEach((name, left) -> left.removeIf(host -> {
                boolean holds = host.runs() && what.get(name).test(host.process());
                if (holds) {
                    found.get(name).sortedMs.add(ms);
                }
                return holds;
            }));
        }
        return found;
    }

    private double at(double share) {
        int count = (int) Math.ceil(share * of);
        return count == 0 || sortedMs.size() < count ? Double.NaN : sortedMs.get(count - 1);
    }

    /** Returns a row of {@link #HEAD}, in seconds. */
    String row(String name) {
        return Figures.row(name, of, at(0.5) / 1e3, at(0.99) / 1e3, at(1) / 1e3, of - sortedMs.size());
    }
}
