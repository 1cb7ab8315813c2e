package walkpost.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import walkpost.fleet.FleetException;
import walkpost.fleet.shell.Fleet;
import walkpost.fleet.shell.FleetFile;

/** {@code walkpost hollow}: many members in one process that serve nothing, to see what a fleet of that size costs. */
@Command(name = "hollow", mixinStandardHelpOptions = true, description = "Holds many members of the fleet in one process that serve "
        + "nothing and have no vote, each with a port of its own, and measures them: an object a line on standard output.")
final class HollowCommand implements Callable<Integer> {
    private static final int MOST_MEMBERS = 1_000;
    private static final long MOST_SECONDS = 86_400;
    /** What {@link FleetFile} takes for a name. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,50}");
    private static final String NAME_VARIABLE = "PROXY_NAME";

    @Spec
    private CommandSpec spec;
    @Option(names = "--members", paramLabel = "N", required = true, description = "how many, up to " + MOST_MEMBERS)
    private int members;
    @Option(names = "--name", paramLabel = "PREFIX", defaultValue = "hollow", description = "they are called PREFIX-1 and so on "
            + "(${DEFAULT-VALUE})")
    private String prefix;
    @Option(names = "--region", paramLabel = "NAME", description = "where they run (what FILE says)")
    private String region;
    @Option(names = "--seconds", paramLabel = "S", defaultValue = "60", description = "after which it ends by itself (${DEFAULT-VALUE})")
    private long seconds;
    @Parameters(index = "0", paramLabel = "FILE", description = "a fleet's file with 'voters' and without 'name'; the port under 'bind' "
            + "counts for nothing")
    private Path file;

    @Override
    public Integer call() throws FleetException, IOException {
        within("--members", members, MOST_MEMBERS);
        within("--seconds", seconds, MOST_SECONDS);
        named("--name", prefix);
        if (region != null) {
            named("--region", region);
        }
        FleetFile read = read();
        Descriptors descriptors = Descriptors.now();
        long needed = descriptors.open() + (long) members * Fleet.MOST_DESCRIPTORS;
        if (needed > descriptors.allowed()) {
            throw new IOException("--members: " + members + " members may need " + needed + " descriptors (" + Fleet.MOST_DESCRIPTORS
                    + " each), and this process may have " + descriptors.allowed() + ": raise 'ulimit -n', or take more processes of "
                    + "fewer members");
        }
        PrintWriter out = spec.commandLine().getOut();
        try (var stay = new Stay(); var hollow = new Hollow(read, prefix, members, out::println)) {
            hollow.begin(needed, descriptors.allowed());
            stay.await(seconds);
        }
        return ExitStatus.FINE;
    }

    private FleetFile read() throws FleetException {
        String first = Hollow.name(prefix, 1);
        FleetFile read = FleetFile.read(file, Map.of(NAME_VARIABLE, first));
        if (!read.name().equals(first)) {
            throw new FleetException.BadFile(file.toString(), "name", "found \"" + read.name() + "\", expected none: members are called "
                    + "by --name");
        }
        if (read.voters().isEmpty()) {
            throw new FleetException.BadFile(file.toString(), "voters", "missing, expected the names of those that vote: hollow members "
                    + "have no vote");
        }
        for (int number = 1; number <= members; number++) {
            if (read.voters().contains(Hollow.name(prefix, number))) {
                throw new FleetException.BadFile(file.toString(), "voters", "found \"" + Hollow.name(prefix, number) + "\", expected "
                        + "another --name: hollow members have no vote");
            }
        }
        return region == null ? read : new FleetFile(read.cluster(), read.name(), read.bind(), read.advertise(), read.members(),
                read.voters(), region, read.seeds(), read.secret(), read.directory(), read.shards(), read.bounds());
    }

    private void within(String option, long is, long most) {
        if (is < 1 || is > most) {
            throw new ParameterException(spec.commandLine(), option + ": found " + is + ", expected a whole number from 1 to " + most);
        }
    }

    private void named(String option, String name) {
        if (!NAME.matcher(name).matches()) {
            throw new ParameterException(spec.commandLine(), option + ": found '" + name + "', expected up to 50 letters, digits, '.', "
                    + "'_', '-'");
        }
    }
}
