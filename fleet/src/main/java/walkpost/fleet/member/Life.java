package walkpost.fleet.member;

/**
 * A member's name together with one of its incarnations. A member takes a higher incarnation when its process restarts and when it
 * refutes a suspicion; claims about a lower incarnation are then void.
 */
public record Life(String name, long incarnation) {
    @Override
    public String toString() {
        return name + "/" + incarnation;
    }
}
