package walkpost.fleet.observe;

/** Where a part of a machine puts what it wants to have sent. */
interface Send {
    void to(String name, ObserveMessage message);
}
