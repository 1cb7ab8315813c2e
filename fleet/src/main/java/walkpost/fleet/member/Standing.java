package walkpost.fleet.member;

/** What a member is held to be. {@code LEFT} has said good-bye and is not missed. */
public enum Standing { ALIVE, SUSPECT, DEAD, LEFT }
