package walkpost.lab.baseline;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import walkpost.lab.net.Board;

/** Runs a plain proxy in a process of its own, as the platform runs a proxy: told all by the file that $PROXY_CONFIG names. */
public final class PlainMain {
    /** The word for a relay that chooses nothing and reads nothing: the floor of what a proxy costs. */
    public static final String RELAY = "relay";
    /** The names of the choices there are, and of the relay. */
    public static final List<String> CHOICES = Stream.concat(Arrays.stream(Choice.Kind.values())
            .map(k -> k.name().toLowerCase(Locale.ROOT).replace('_', '-')), Stream.of(RELAY)).toList();

    private PlainMain() { }

    /**
     * Serves until the process is ended.
     *
     * @param args a choice, and what to do wrong if anything
     * @throws IOException if the configuration can't be read or the address not be had
     */
    public static void main(String[] args) throws IOException {
        if (args[0].equals(RELAY)) {
            BareRelay.start(Path.of(System.getenv("PROXY_CONFIG"))).closeFuture().syncUninterruptibly();
            return;
        }
        String board = System.getenv(Board.VARIABLE);
        Wrong wrong = args.length > 1 ? Wrong.valueOf(args[1]) : null;
        PlainProxy.start(Path.of(System.getenv("PROXY_CONFIG")), args[0], wrong, args[0].equals("oracle") ? Path.of(board) : null)
                .listener().closeFuture().syncUninterruptibly();
    }
}
