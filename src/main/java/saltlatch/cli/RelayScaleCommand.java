package saltlatch.cli;

import java.io.PrintStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltlatch.lab.scale.Machine;
import saltlatch.lab.scale.ResourceRequirements;
import saltlatch.lab.tiers.RelayScale;
import saltlatch.lab.tiers.TierPlan;

/**
 * {@code lab scale relay}: measures hollow nodes that follow the source through two tiers of
 * relays, then directly. A run takes minutes.
 */
@Command(name = "relay", mixinStandardHelpOptions = true,
    description = "Measure how long a change takes "
        + "to be in force, and what it costs, through two tiers of relays and without them.")
final class RelayScaleCommand implements Callable<Integer> {
  private static final int REFUSED = 2; // exit code

  @Option(names = "--upper", defaultValue = "2",
      description = "relays that follow the source (${DEFAULT-VALUE})") int upper;

  @Option(names = "--lower", defaultValue = "5",
      description = "relays that nodes follow (${DEFAULT-VALUE})") int lower;

  @Option(names = "--nodes", defaultValue = "2700",
      description = "hollow nodes (${DEFAULT-VALUE})") int nodes;

  @Option(names = "--at-once", defaultValue = "300",
      description = "number of these nodes that start together (${DEFAULT-VALUE})") int atOnce;

  @Option(names = "--entries", defaultValue = "34000",
      description = "app servers in the list (${DEFAULT-VALUE})") int entries;

  @Option(names = "--processes", defaultValue = "6",
      description = "processes that run the hollow nodes (${DEFAULT-VALUE})") int processes;

  @Option(names = "--seconds", defaultValue = "60",
      description = "duration of each phase with changes (${DEFAULT-VALUE})") long seconds;

  @Option(names = "--repeat", defaultValue = "1",
      description = "number of this repeat, recorded with the measurements") int repeat;

  @Option(names = "--out", required = true,
      description = "file to which the measurements are appended") Path out;

  @Option(names = "--commit", required = true,
      description = "commit that is measured, recorded with the measurements") String commit;

  @Option(names = "--dir", defaultValue = "target/relay-scale",
      description = "directory for configurations, reports and logs (${DEFAULT-VALUE})") Path dir;

  @Override
  public Integer call() throws Exception {
    TierPlan plan;
    try {
      plan = new TierPlan(upper, lower, entries, nodes, atOnce, processes);
      Machine.here().admit("relay", nodes,
          new ResourceRequirements(plan.bytes(), upper + lower + processes + 1));
    } catch (Machine.ResourceLimitException | IllegalArgumentException e) {
      System.err.println("saltlatch lab scale relay: " + e.getMessage());
      return REFUSED;
    }
    run(plan);
    return 0;
  }

  private void run(TierPlan plan) throws Exception {
    Path jar = Path
        .of(RelayScaleCommand.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    if (out.getParent() != null) Files.createDirectories(out.getParent());
    PrintStream progress = System.out;
    try (
        Writer writer = Files.newBufferedWriter(out, StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
        RelayScale scale = new RelayScale(plan, jar, dir, writer, progress, commit, repeat)) {
      scale.run(seconds);
    }
  }
}
