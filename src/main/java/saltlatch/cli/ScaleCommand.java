package saltlatch.cli;

import java.io.Writer;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import saltlatch.lab.scale.Machine;
import saltlatch.lab.scale.ScaleRun;
import saltlatch.lab.scale.ScaleTest;
import saltlatch.lab.scale.ScaleTests;
import saltlatch.lab.scale.TestEnvironment;

/**
 * {@code lab scale TEST}: measures the resources that a part of the system uses as one quantity
 * grows. The subcommand {@code source} runs a substitute for discovery, {@code relay} measures
 * relays, and {@code report} writes the tables of docs/CAPACITY.md.
 */
@Command(name = "scale", mixinStandardHelpOptions = true,
    subcommands = {SourceCommand.class, RelayScaleCommand.class, CapacityReportCommand.class},
    description = "Measure what a part costs as one quantity grows: JSON lines of "
        + "measurements, a linear fit, the cost of the largest size as predicted and as measured.")
final class ScaleCommand implements Callable<Integer> {
  private static final int REFUSED = 2; // exit code if the test exceeds the resource limits

  @Spec CommandSpec spec;

  @Parameters(index = "0", arity = "0..1", paramLabel = "TEST",
      description = "the quantity that grows: list, watchers, plans, "
          + "counter, members, requests, sums, hollow, fleet or module") String test;

  @Option(names = "--sizes", split = ",",
      description = "sizes to measure; default: those of the test") List<Long> sizes;

  @Option(names = "--repeats", defaultValue = "3",
      description = "measurements of each size (${DEFAULT-VALUE})") int repeats;

  @Option(names = "--out",
      description = "file to which the measurements are appended; default: docs/capacity/TEST.jsonl") Path out;

  @Option(names = "--jar",
      description = "program of the real nodes; default: this program") Path jar;

  @Option(names = "--commit",
      description = "commit that is measured, recorded with the measurements; default: from git") String commit;

  @Option(names = "--dir", defaultValue = "target/scale",
      description = "directory for configurations and logs of the processes (${DEFAULT-VALUE})") Path dir;

  @Override
  public Integer call() throws Exception {
    Path ownJar = ownJar();
    TestEnvironment environment = TestEnvironment.of(Path.of("deploy/balancer.toml"),
        jar == null ? ownJar : jar, ownJar, dir);
    ScaleTest selected = ScaleTests.named(test == null ? "" : test, environment)
        .orElseThrow(() -> new ParameterException(spec.commandLine(), "TEST is one of " + ScaleTests
            .all(environment).stream().map(ScaleTest::name).collect(Collectors.joining(", "))));
    List<Long> selectedSizes = sizes == null ? selected.sizes()
        : sizes.stream().sorted().distinct().toList();
    Path file = out == null ? Path.of("docs/capacity", test + ".jsonl") : out;
    if (file.getParent() != null) Files.createDirectories(file.getParent());
    try (Writer writer = Files.newBufferedWriter(file, StandardOpenOption.CREATE,
        StandardOpenOption.APPEND)) {
      new ScaleRun(Machine.here(), writer, System.out, System.err, commit).run(selected,
          selectedSizes, repeats);
      return 0;
    } catch (Machine.ResourceLimitException e) {
      System.err.println("saltlatch lab scale: " + e.getMessage());
      return REFUSED;
    }
  }

  /** Returns the jar or class directory from which this program runs. */
  static Path ownJar() throws URISyntaxException {
    return Path.of(ScaleCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
  }
}
