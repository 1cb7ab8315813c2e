package walkpost.app;

import java.io.IOException;
import java.io.PrintWriter;
import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.HelpCommand;
import walkpost.fleet.FleetException;
import walkpost.lab.scenario.BadScenario;
import walkpost.proxy.Serve;

/**
 * The command line. The three commands that the platform starts, as bare words, go straight to the proxy: a start is paid
 * for by the clients who wait for it, and the classes that read arguments would be part of it.
 */
public final class Main {
    private Main() { }

    /** Every command; each is told in its own class. */
    @Command(name = "walkpost", mixinStandardHelpOptions = true, versionProvider = Version.class, sortOptions = false,
            description = "A reverse proxy for servers of unequal speed, and the lab that proves it.",
            subcommands = {ServeCommand.class, RehearseCommand.class, DrillCommand.class, MemberCommand.class, HollowCommand.class,
                DemoCommand.class, LabCommand.class,
                AutoComplete.GenerateCompletion.class, HelpCommand.class},
            exitCodeListHeading = "%nExit status:%n",
            exitCodeList = {"0:fine", "1:a rule was broken", "2:usage, or a file that is wrong",
                "3:the machine ran late, so the result does not count"})
    static final class Walkpost { }

    @Command(name = "serve", mixinStandardHelpOptions = true,
            description = "Runs one proxy, as the file that $PROXY_CONFIG names has it.")
    static final class ServeCommand implements Runnable {
        @Override
        public void run() {
            Serve.main(new String[0]);
        }
    }

    @Command(name = "rehearse", mixinStandardHelpOptions = true,
            description = "Does all that a proxy does up to its first client, for the build's archive of classes.")
    static final class RehearseCommand implements Runnable {
        @Override
        public void run() {
            Serve.trainClassDataArchive();
        }
    }

    @Command(name = "drill", mixinStandardHelpOptions = true,
            description = "Hosts the decisions on the simulator's wire, over standard input and output.")
    static final class DrillCommand implements Runnable {
        @Override
        public void run() {
            drill();
        }
    }

    /**
     * Runs one of the commands.
     *
     * @param args the command and what it takes
     */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> Serve.main(args);
            case "rehearse" -> Serve.trainClassDataArchive();
            case "drill" -> drill();
            default -> {
                int status = run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args);
                // What goes on serving has threads of its own; everything else ends here, with what it has to say.
                if (status != ExitStatus.FINE || !serves(args)) {
                    System.exit(status);
                }
            }
        }
    }

    private static boolean serves(String[] args) {
        return args.length > 0 && args[0].equals("serve") && !java.util.List.of(args).contains("--help");
    }

    /** Runs a command line and returns its exit status. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        var line = new CommandLine(new Walkpost()).setOut(out).setErr(err);
        line.setExecutionExceptionHandler((e, command, parsed) -> {
            // These say all that their reader needs; anything else is a mistake of ours, and its kind is part of it.
            boolean told = e instanceof BadScenario || e instanceof FleetException || e instanceof IOException && e.getMessage() != null;
            command.getErr().println("walkpost: " + (told ? e.getMessage() : e));
            return ExitStatus.USAGE;
        });
        if (args.length == 0) {
            line.usage(err);
            return ExitStatus.USAGE;
        }
        return line.execute(args);
    }

    private static void drill() {
        try {
            walkpost.wire.Main.main(new String[] {"drill"});
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
