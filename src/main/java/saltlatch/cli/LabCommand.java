package saltlatch.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltlatch.lab.load.RunResult;
import saltlatch.lab.report.Report;
import saltlatch.lab.run.Lab;
import saltlatch.lab.scenario.Scenario;

/** {@code lab}: emulator, K in-process edge nodes and the load; writes the run file and its report. */
@Command(name = "lab", mixinStandardHelpOptions = true,
    description = "Run a scenario against K real edge nodes in this process; write RUN.json and RUN.html.")
final class LabCommand implements Callable<Integer> {
  @Option(names = "--scenario", required = true, description = "scenario file (TOML, see docs/lab.md)")
  Path scenario;

  @Option(names = "--nodes", defaultValue = "0", description = "edge nodes; 0 takes the scenario's")
  int nodes;

  @Option(names = "--out", defaultValue = "run", description = "run file stem: writes STEM.json and STEM.html")
  String out;

  @Option(names = "--baseline", description = "an earlier run file to compare against in the report")
  Path baseline;

  @Option(names = "--processes", description = "start each node as a child process with the run line's JVM flags "
      + "(not on the bench's platform, which allows no fork); needs target/saltlatch.jar")
  boolean processes;

  @Override
  public Integer call() throws Exception {
    Lab.Children children = null;
    if (processes) {
      String toml = Files.readString(Path.of("deploy/balancer.toml"));
      java.util.regex.Matcher m =
          java.util.regex.Pattern.compile("(?m)^run = \"exec java (.*?) -jar ").matcher(toml);
      if (!m.find()) {
        System.err.println("saltlatch lab: no run line in deploy/balancer.toml");
        return 2;
      }
      children = new Lab.Children(java.util.List.of(m.group(1)
          .replace("${TMPDIR:-/tmp}", System.getenv().getOrDefault("TMPDIR", "/tmp")).split(" ")),
          Path.of("target/saltlatch.jar"),
          Path.of(out + "-nodes"));
    }
    RunResult r = Lab.run(Scenario.read(scenario), nodes, children);
    Lab.write(r, Path.of(out + ".json"));
    RunResult base = baseline == null ? null : Lab.read(baseline);
    Files.writeString(Path.of(out + ".html"), Report.html(r, base));
    for (RunResult.Check c : r.checks()) {
      System.out.println((c.passed() ? "passed " : "FAILED ") + c.name() + ": " + c.detail());
    }
    System.out.println("outcomes " + r.outcomes() + ", latency us " + r.latencyUs() + ", sender late us "
        + r.senderLateUs());
    return r.passed() ? 0 : 1;
  }
}
