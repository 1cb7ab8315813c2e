package walkpost.fleet.observe;

/** Where a part of a machine puts what it wants to have sent. */
interface MessageSender {
    void send(String name, ObserveMessage message);
}
