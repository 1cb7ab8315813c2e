package walkpost.fleet.scale;

/** The heap in use after a collection: machines, counts, and what is on its way. */
final class Heap {
    private Heap() { }

    static double usedKb() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) / 1e3;
    }
}
