package walkpost.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/** Which room sees which: app sees proxy and lab, proxy sees fleet, and lab sees none of the others. */
final class RoomsTest {
    private static final JavaClasses PROGRAM = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("walkpost");
    private static final String[] PROXY = {"walkpost", "walkpost.log..", "walkpost.proxy..", "walkpost.wire.."};
    private static final String FLEET = "walkpost.fleet..";
    private static final String LAB = "walkpost.lab..";
    private static final String APP = "walkpost.app..";

    @Test
    void theLabSeesNeitherProxyNorApp() {
        noClasses().that().resideInAPackage(LAB).should().dependOnClassesThat().resideInAnyPackage(PROXY)
                .orShould().dependOnClassesThat().resideInAnyPackage(FLEET, APP).check(PROGRAM);
    }

    @Test
    void whatServesSeesNeitherLabNorApp() {
        noClasses().that().resideInAnyPackage(PROXY).should().dependOnClassesThat().resideInAnyPackage(LAB, APP)
                .check(PROGRAM);
    }

    @Test
    void theFleetSeesNothingOfWhatServes() {
        noClasses().that().resideInAPackage(FLEET).should().dependOnClassesThat().resideInAnyPackage(PROXY)
                .orShould().dependOnClassesThat().resideInAnyPackage(LAB, APP, "io.netty.handler.codec.http..").check(PROGRAM);
    }

    /** Protocols are pure, so that a simulation runs them: sockets, threads, files and clocks are the shell's alone. */
    @Test
    void theFleetsProtocolsDoNoInputOrOutput() {
        noClasses().that().resideInAnyPackage("walkpost.fleet", "walkpost.fleet.member..", "walkpost.fleet.copy..", "walkpost.fleet.observe..")
                .should().dependOnClassesThat().resideInAnyPackage("walkpost.fleet.shell..", "io.netty..", "org.slf4j..", "java.net..",
                        "java.nio..", "java.util.concurrent..", "java.time..").check(PROGRAM);
        noClasses().that().resideInAPackage("walkpost.fleet.member..").should().dependOnClassesThat()
                .resideInAnyPackage("walkpost.fleet.copy..", "walkpost.fleet.observe..").check(PROGRAM);
        noClasses().that().resideInAPackage("walkpost.fleet.copy..").should().dependOnClassesThat()
                .resideInAPackage("walkpost.fleet.observe..").check(PROGRAM);
    }

    @Test
    void theModuleSeesNoSocketsAndNoClock() {
        noClasses().that().resideInAPackage("walkpost").should().dependOnClassesThat()
                .resideInAnyPackage(FLEET, "walkpost.log..", "walkpost.proxy..", "walkpost.wire..", "org.slf4j..", "io.netty..", "java.net..", "java.nio..")
                .check(PROGRAM);
    }

    /** A rule that no class falls under would hold whatever the program does. */
    @Test
    void theArrowsAreSeenAtAll() {
        ArchRule turned = classes().that().resideInAPackage(APP).should().onlyDependOnClassesThat()
                .resideOutsideOfPackages(PROXY);
        Assertions.assertThatThrownBy(() -> turned.check(PROGRAM)).isInstanceOf(AssertionError.class)
                .hasMessageContaining("walkpost.proxy.Serve");
    }
}
