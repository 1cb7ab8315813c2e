package walkpost.fleet.observe;

/** Sends the messages of the parts of a {@link Feed} or an {@link Observer}. */
interface MessageSender {
    /** Sends a message to a member; the message may be lost. */
    void send(String name, ObserveMessage message);
}
