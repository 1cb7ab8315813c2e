package walkpost.fleet.shell;

/** What the members of a cluster share, so that nobody else's messages are believed. Its bytes are told to nobody but the codec. */
final class Secret {
    /** Bytes; fewer can be guessed (RFC 2104 has a key no shorter than the hash for full strength, 128 bits are out of reach). */
    static final int LEAST = 16;
    static final int MOST = 4_096;

    private final byte[] bytes;

    Secret(byte[] bytes) {
        if (bytes.length < LEAST || bytes.length > MOST) {
            throw new IllegalArgumentException("a secret of " + bytes.length + " bytes");
        }
        this.bytes = bytes.clone();
    }

    byte[] bytes() {
        return bytes.clone();
    }

    @Override
    public String toString() {
        return "secret of " + bytes.length + " bytes";
    }
}
