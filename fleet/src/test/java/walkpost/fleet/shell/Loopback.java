package walkpost.fleet.shell;

import walkpost.fleet.member.Address;

/** A loopback address of this process's own: at 127.0.0.1 any other may take a port between one test's use of it and the next. */
final class Loopback {
    private static final long PID = ProcessHandle.current().pid();
    /** Any free port there. */
    static final Address ANY = new Address("127." + (64 + PID % 64) + "." + PID / 64 % 256 + ".1", 0);

    private Loopback() { }
}
