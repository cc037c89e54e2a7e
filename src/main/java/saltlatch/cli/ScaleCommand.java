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
 * {@code lab scale TEST}: what the parts cost as one thing grows; and the stand-ins that this is
 * measured against.
 */
@Command(name = "scale", mixinStandardHelpOptions = true,
    subcommands = {SourceCommand.class, RelayScaleCommand.class, CapacityReportCommand.class},
    description = "Measure what a part costs as one thing grows: JSON lines of "
        + "measurements, a straight line through them, the largest size foretold and measured.")
final class ScaleCommand implements Callable<Integer> {
  private static final int REFUSED = 2; // exit code

  @Spec CommandSpec spec;

  @Parameters(index = "0", arity = "0..1", paramLabel = "TEST",
      description = "list, watchers, plans, "
          + "counter, members, requests, sums, hollow, fleet, module: what grows") String test;

  @Option(names = "--sizes", split = ",",
      description = "ascending; else the test's own") List<Long> sizes;

  @Option(names = "--repeats", defaultValue = "3",
      description = "of each size (${DEFAULT-VALUE})") int repeats;

  @Option(names = "--out",
      description = "file that measurements are added to; else docs/capacity/TEST.jsonl") Path out;

  @Option(names = "--jar",
      description = "program of the real nodes; else the one that runs this") Path jar;

  @Option(names = "--commit",
      description = "the text that is measured, for the measurements; else by git") String commit;

  @Option(names = "--dir", defaultValue = "target/scale",
      description = "configurations and logs of the processes (${DEFAULT-VALUE})") Path dir;

  @Override
  public Integer call() throws Exception {
    Path own = ownJar();
    TestEnvironment environment = TestEnvironment.of(Path.of("deploy/balancer.toml"),
        jar == null ? own : jar, own, dir);
    ScaleTest chosen = ScaleTests.named(test == null ? "" : test, environment)
        .orElseThrow(() -> new ParameterException(spec.commandLine(), "TEST is one of " + ScaleTests
            .all(environment).stream().map(ScaleTest::name).collect(Collectors.joining(", "))));
    List<Long> chosenSizes = sizes == null ? chosen.sizes()
        : sizes.stream().sorted().distinct().toList();
    Path file = out == null ? Path.of("docs/capacity", test + ".jsonl") : out;
    if (file.getParent() != null) Files.createDirectories(file.getParent());
    try (Writer writer = Files.newBufferedWriter(file, StandardOpenOption.CREATE,
        StandardOpenOption.APPEND)) {
      new ScaleRun(Machine.here(), writer, System.out, System.err, commit).run(chosen, chosenSizes,
          repeats);
      return 0;
    } catch (Machine.ResourceLimitException e) {
      System.err.println("saltlatch lab scale: " + e.getMessage());
      return REFUSED;
    }
  }

  /** The jar that runs this. */
  static Path ownJar() throws URISyntaxException {
    return Path.of(ScaleCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
  }
}
