package walkpost.fleet.member;

/** A member's name and incarnation, its address and its state. */
public record Member(Life life, Address address, Standing standing) { }
