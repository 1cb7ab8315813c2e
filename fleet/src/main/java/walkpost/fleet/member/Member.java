package walkpost.fleet.member;

/** What is known of a member. */
public record Member(Life life, Address address, Standing standing) { }
