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
 * {@code lab}: emulator, K in-process edge nodes and the load; writes the run file and its report.
 */
@Command(name = "lab", mixinStandardHelpOptions = true,
    subcommands = {ScaleCommand.class, HollowCommand.class},
    description = "Run a scenario against K real edge nodes in this process; write RUN.json and RUN.html.")
final class LabCommand implements Callable<Integer> {
  private static final int MOST_SHOWN = 20; // violations on the screen; the run file has all

  @Spec CommandSpec spec;

  @Option(names = "--scenario",
      description = "scenario file (TOML, see docs/lab.md)") Path scenario;

  @Option(names = "--nodes", defaultValue = "0",
      description = "edge nodes; 0 takes the scenario's") int nodes;

  @Option(names = "--out", defaultValue = "run",
      description = "run file stem: writes STEM.json and STEM.html") String out;

  @Option(names = "--baseline",
      description = "an earlier run file to compare against in the report") Path baseline;

  @Option(names = "--processes",
      description = "start each node as a child process with the run line's JVM flags "
          + "(not on the bench's platform, which allows no fork); needs target/saltlatch.jar") boolean processes;

  @Option(names = "--jar", defaultValue = "target/saltlatch.jar",
      description = "the program that child processes run") Path jar;

  @Option(names = "--seed", defaultValue = "0",
      description = "another seed than the scenario's; 0 takes that") long seed;

  @Override
  public Integer call() throws Exception {
    if (scenario == null) {
      throw new ParameterException(spec.commandLine(),
          "Missing required option: '--scenario=<scenario>'");
    }
    Processes.Program program = processes
        ? Processes.Program.of(Path.of("deploy/balancer.toml"), jar, Path.of(out + "-nodes"))
        : null;
    Scenario read = Scenario.read(scenario);
    if (seed != 0) read = read.withSeed(seed);
    RunResult r = Lab.run(read, nodes, program);
    Lab.write(r, Path.of(out + ".json"));
    RunResult base = baseline == null ? null : Lab.read(baseline);
    Files.writeString(Path.of(out + ".html"), Report.html(r, base));
    for (RunResult.Check c : r.checks()) {
      System.out.println((c.passed() ? "passed " : "FAILED ") + c.name() + ": " + c.detail());
    }
    System.out.println("outcomes " + r.outcomes() + ", latency us " + r.latencyUs()
        + ", sender late us " + r.senderLateUs());
    System.out.println("units beyond plan " + r.truth().unitsBeyondPlan() + ", denied with room "
        + r.deniedWithRoom() + ", recovery s " + r.recoveryS() + ", relays us " + r.relayDelayUs());
    if (r.members() != null) System.out.println("members: " + r.members());
    r.violations().stream().limit(MOST_SHOWN).forEach(System.out::println);
    return r.passed() ? 0 : 1;
  }
}
