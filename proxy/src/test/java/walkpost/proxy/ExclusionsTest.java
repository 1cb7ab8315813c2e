package walkpost.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import walkpost.Balancer;

/** The folder of exclusions, which may not be readable for a moment. */
class ExclusionsTest {
    @TempDir
    private Path dir;
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Balancer.Event> events = new ArrayList<>();

    private void look() {
        channel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void aFolderThatCannotBeReadGivesNobodyBack() throws Exception {
        channel.freezeTime();
        Path folder = dir.resolve("excluded");
        var backends = new Backends(new Clock(), channel.eventLoop(), EmbeddedChannel::new, new Sockets(256), new Buffers(1 << 20), 1, 1);
        var proxy = new Proxy(new Clock(), channel.eventLoop(), (now, event, actions) -> events.add(event), backends);
        var exclusions = new Exclusions(channel.eventLoop(), new TakenOut(proxy), folder, "operators");
        exclusions.start();
        exclusions.obey("s0", true);
        Path aside = Files.move(folder, dir.resolve("aside"));
        // Whoever follows a link to itself gets ELOOP, and not that there is nothing.
        Files.createSymbolicLink(folder, folder);
        look();
        assertThat(exclusions.standing()).containsExactly("s0");
        Files.delete(folder);
        Files.move(aside, folder);
        look();
        assertThat(exclusions.standing()).containsExactly("s0");
        assertThat(events).containsExactly(new Balancer.Excluded("s0"));
        channel.finishAndReleaseAll();
    }
}
