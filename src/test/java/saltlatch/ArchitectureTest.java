package saltlatch;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The arrows between packages, read from the compiled classes: they run one way
 * (docs/architecture.md), and decisions touch no socket and no clock of their own.
 * config/import-control.xml says the same of each import.
 */
class ArchitectureTest {
  private static final String[] DECISIONS = {"saltlatch.api..", "saltlatch.policy..",
      "saltlatch.membership..", "saltlatch.configuration..", "saltlatch.distribution.."};

  private final JavaClasses classes = new ClassFileImporter()
      .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("saltlatch");

  @Test
  void packagesHaveNoCircles() {
    slices().matching("saltlatch.(**)").should().beFreeOfCycles().check(classes);
  }

  @Test
  void decisionsDoNoIo() {
    noClasses().that().resideInAnyPackage(DECISIONS).should().dependOnClassesThat()
        .resideInAnyPackage("io.vertx..", "io.netty..", "java.net..", "java.nio..", "org.slf4j..",
            "saltlatch.wire..", "saltlatch.state..", "saltlatch.node..")
        .check(classes);
  }

  @Test
  void decisionsReadNoClock() {
    noClasses().that().resideInAnyPackage(DECISIONS).should()
        .callMethod(System.class, "currentTimeMillis").orShould()
        .callMethod(System.class, "nanoTime").orShould().dependOnClassesThat()
        .resideInAPackage("java.time..").check(classes);
  }

  /** The operators read from the deploy file which files hold the decisions. */
  @Test
  void deployFileListsTheDecisions() throws IOException {
    Path sources = Path.of("src/main/java/saltlatch/policy");
    String deploy = Files.readString(Path.of("deploy/balancer.toml"));
    try (Stream<Path> files = Files.list(sources)) {
      List<String> unlisted = files.map(Path::toString)
          .filter(path -> !path.endsWith("package-info.java"))
          .filter(path -> !deploy.contains('"' + path + '"')).toList();
      assertEquals(List.of(), unlisted);
    }
  }
}
