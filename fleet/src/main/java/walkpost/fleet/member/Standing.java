package walkpost.fleet.member;

/** The state of a member in another member's view. A member that is {@code LEFT} announced its departure, so it did not fail. */
public enum Standing { ALIVE, SUSPECT, DEAD, LEFT }
