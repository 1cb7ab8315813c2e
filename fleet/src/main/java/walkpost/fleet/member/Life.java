package walkpost.fleet.member;

/**
 * One life of a member. A process that starts again takes a greater incarnation, and so does one that refutes a suspicion; what
 * was said of a lower one no longer counts.
 */
public record Life(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "/" + incarnation;
    }
}
