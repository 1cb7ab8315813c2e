package walkpost.proxy;

import io.netty.channel.Channel;

/** Closes channels whose connection may never have been opened or registered. */
final class Channels {
    private Channels() { }

    /** Closes a channel without throwing, even if its socket could not be created or it is not registered with an event loop yet. */
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
