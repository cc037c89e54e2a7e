package saltlatch.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.scenario.Scenario;

/**
 * {@code emulate}: the stand-ins of a scenario on loopback, for nodes started by hand; writes each
 * node's configuration {@code DIR/nI.json} and serves until the scenario's time and
 * {@code --linger} have passed.
 */
@Command(name = "emulate", mixinStandardHelpOptions = true,
    description = "Start the scenario's emulated app servers, counter, discovery and peer relay; write node configs.")
final class EmulateCommand implements Callable<Integer> {
  @Option(names = "--scenario", required = true,
      description = "scenario file (TOML, see docs/lab.md)") Path scenario;

  @Option(names = "--configs", defaultValue = "lab-nodes",
      description = "directory for the nodes' configurations") Path configs;

  @Option(names = "--linger", defaultValue = "10",
      description = "seconds to serve on after the scenario's time") double linger;

  @Override
  public Integer call() throws Exception {
    Scenario s = Scenario.read(scenario);
    Emulator e = new Emulator(s, new LabClock());
    e.start().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    Files.createDirectories(configs);
    for (int i = 0; i < s.nodes(); i++)
      Files.writeString(configs.resolve("n" + i + ".json"), e.nodeConfig(i));
    System.out.println("emulating " + s.name() + "; app servers on " + e.serverPorts()
        + "; configs in " + configs);
    Thread.sleep((long) ((s.seconds() + linger) * 1000));
    System.out
        .println(e.metrics().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS));
    e.stop().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    return 0;
  }
}
