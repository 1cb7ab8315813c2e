package walkpost.app;

import picocli.CommandLine.IVersionProvider;

/** The version, as the jar's manifest has it. */
final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
        String version = Version.class.getPackage().getImplementationVersion();
        return new String[] {"walkpost " + (version == null ? "(not from a jar)" : version)};
    }
}
