package walkpost.fleet.member;

/** Where a member is reached, over UDP and TCP alike: an IPv4 address in numbers, and a port. */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
