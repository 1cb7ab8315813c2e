package walkpost.proxy;

import io.netty.channel.Channel;

/** Closes channels that may never have come into being. */
final class Channels {
    private Channels() { }

    /** Closes a channel, also one whose socket could not be had or that no loop serves yet; this never throws. */
    static void close(Channel channel) {
        if (!channel.isOpen()) {
            return;
        }
        if (channel.isRegistered()) {
            channel.close();
        } else {
            channel.unsafe().closeForcibly();
        }
    }
}
