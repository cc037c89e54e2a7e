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
 * Checks the dependencies between packages in the compiled classes: they run in one direction,
 * without cycles (see docs/architecture.md), and the packages that make decisions do no I/O and
 * read no clock. config/import-control.xml states the same rules for each import.
 */
class ArchitectureTest {
  private static final String[] DECISION_PACKAGES = {"saltlatch.api..", "saltlatch.policy..",
      "saltlatch.membership..", "saltlatch.configuration..", "saltlatch.distribution.."};

  private final JavaClasses classes = new ClassFileImporter()
      .withImportOption(new ImportOption.DoNotIncludeTests()).importPackages("saltlatch");

  @Test
  void packagesHaveNoCyclicDependencies() {
    slices().matching("saltlatch.(**)").should().beFreeOfCycles().check(classes);
  }

  @Test
  void decisionPackagesDoNoIo() {
    noClasses().that().resideInAnyPackage(DECISION_PACKAGES).should().dependOnClassesThat()
        .resideInAnyPackage("io.vertx..", "io.netty..", "java.net..", "java.nio..", "org.slf4j..",
            "saltlatch.wire..", "saltlatch.state..", "saltlatch.node..")
        .check(classes);
  }

  @Test
  void decisionPackagesReadNoClock() {
    noClasses().that().resideInAnyPackage(DECISION_PACKAGES).should()
        .callMethod(System.class, "currentTimeMillis").orShould()
        .callMethod(System.class, "nanoTime").orShould().dependOnClassesThat()
        .resideInAPackage("java.time..").check(classes);
  }

  /**
   * Operators find the sources of the policy decisions in the deployment file. Guards against a
   * source file that is missing there.
   */
  @Test
  void deploymentFileListsAllPolicySources() throws IOException {
    Path policySources = Path.of("src/main/java/saltlatch/policy");
    String deploymentFile = Files.readString(Path.of("deploy/balancer.toml"));
    try (Stream<Path> files = Files.list(policySources)) {
      List<String> unlisted = files.map(Path::toString)
          .filter(path -> !path.endsWith("package-info.java"))
          .filter(path -> !deploymentFile.contains('"' + path + '"')).toList();
      assertEquals(List.of(), unlisted);
    }
  }
}
