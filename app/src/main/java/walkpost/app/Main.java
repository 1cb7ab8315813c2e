package walkpost.app;

import walkpost.proxy.Serve;
import java.io.IOException;

/**
 * The command line: {@code serve} runs one real proxy, {@code drill} the module on the simulator's wire, and
 * {@code rehearse} has the build see which classes a proxy loads.
 */
public final class Main {
    private Main() { }

    /**
     * Runs one of the commands.
     *
     * @param args one word, the command
     * @throws IOException if standard input or output of {@code drill} fails
     */
    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "serve" -> Serve.main(args);
            case "rehearse" -> Serve.rehearse();
            case "drill" -> walkpost.wire.Main.main(args);
            default -> {
                System.err.println("usage: java -jar walkpost.jar serve|drill|rehearse");
                System.exit(2);
            }
        }
    }
}
