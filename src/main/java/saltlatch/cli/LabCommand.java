package saltlatch.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import saltlatch.lab.load.RunResult;
import saltlatch.lab.report.Report;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.run.Lab;
import saltlatch.lab.scenario.Scenario;

/**
 * {@code lab}: runs a scenario with the emulator, edge nodes and the load in this process. Writes
 * the run file and its report. With {@code --processes} each node is a child process.
 */
@Command(name = "lab", mixinStandardHelpOptions = true,
    subcommands = {ScaleCommand.class, HollowCommand.class, FloodCommand.class, SoakCommand.class},
    description = "Run a scenario against K real edge nodes in this process; write RUN.json and RUN.html.")
final class LabCommand implements Callable<Integer> {
  private static final int MAX_PRINTED_VIOLATIONS = 20; // the run file has all of them

  @Spec CommandSpec spec;

  @Option(names = "--scenario",
      description = "scenario file (TOML, see docs/lab.md)") Path scenario;

  @Option(names = "--nodes", defaultValue = "0",
      description = "number of edge nodes; 0: as in the scenario") int nodes;

  @Option(names = "--out", defaultValue = "run",
      description = "run file stem: writes STEM.json and STEM.html") String out;

  @Option(names = "--baseline",
      description = "an earlier run file to compare against in the report") Path baseline;

  @Option(names = "--processes",
      description = "start each node as a child process with the run line's JVM flags "
          + "(not on the bench's platform, which allows no fork); needs target/saltlatch.jar") boolean processes;

  @Option(names = "--jar", defaultValue = "target/saltlatch.jar",
      description = "program that the child processes run (${DEFAULT-VALUE})") Path jar;

  @Option(names = "--seed", defaultValue = "0",
      description = "seed that replaces the scenario's; 0: as in the scenario") long seed;

  @Override
  public Integer call() throws Exception {
    if (scenario == null) {
      throw new ParameterException(spec.commandLine(),
          "Missing required option: '--scenario=<scenario>'");
    }
    Processes.Program program = processes
        ? Processes.Program.of(Path.of("deploy/balancer.toml"), jar, Path.of(out + "-nodes"))
        : null;
    Scenario loaded = Scenario.read(scenario);
    if (seed != 0) loaded = loaded.withSeed(seed);
    RunResult result = Lab.run(loaded, nodes, program);
    Lab.write(result, Path.of(out + ".json"));
    RunResult baselineResult = baseline == null ? null : Lab.read(baseline);
    Files.writeString(Path.of(out + ".html"), Report.html(result, baselineResult));
    for (RunResult.Check check : result.checks()) {
      System.out
          .println((check.passed() ? "passed " : "FAILED ") + check.name() + ": " + check.detail());
    }
    System.out.println("outcomes " + result.outcomes() + ", latency us " + result.latencyUs()
        + ", sender late us " + result.senderLateUs());
    System.out.println("units beyond plan " + result.truth().unitsBeyondPlan()
        + ", denied with room " + result.deniedWithRoom() + ", recovery s " + result.recoveryS()
        + ", relays us " + result.relayDelayUs());
    if (result.members() != null) System.out.println("members: " + result.members());
    result.violations().stream().limit(MAX_PRINTED_VIOLATIONS).forEach(System.out::println);
    return result.passed() ? 0 : 1;
  }
}
