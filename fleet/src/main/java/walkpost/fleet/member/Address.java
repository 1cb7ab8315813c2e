package walkpost.fleet.member;

/** The address of a member, the same for UDP and TCP: a numeric IPv4 address and a port. */
public record Address(String host, int port) {
    @Override
    public String toString() {
        return host + ":" + port;
    }
}
