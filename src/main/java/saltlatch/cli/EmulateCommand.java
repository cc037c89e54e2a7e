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
 * {@code emulate}: runs the emulated services of a scenario on loopback, for nodes that are started
 * by hand. Writes the configuration of each node to {@code DIR/nI.json} and serves for the
 * scenario's duration plus {@code --linger}.
 */
@Command(name = "emulate", mixinStandardHelpOptions = true,
    description = "Start the scenario's emulated app servers, counter, discovery and peer relay; write node configs.")
final class EmulateCommand implements Callable<Integer> {
  @Option(names = "--scenario", required = true,
      description = "scenario file (TOML, see docs/lab.md)") Path scenario;

  @Option(names = "--configs", defaultValue = "lab-nodes",
      description = "directory for the nodes' configurations") Path configs;

  @Option(names = "--linger", defaultValue = "10",
      description = "seconds to keep serving after the scenario's end") double linger;

  @Override
  public Integer call() throws Exception {
    Scenario loaded = Scenario.read(scenario);
    Emulator emulator = new Emulator(loaded, new LabClock());
    emulator.start().toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
    Files.createDirectories(configs);
    for (int i = 0; i < loaded.nodes(); i++)
      Files.writeString(configs.resolve("n" + i + ".json"), emulator.nodeConfig(i));
    System.out.println("emulating " + loaded.name() + "; app servers on " + emulator.serverPorts()
        + "; configs in " + configs);
    Thread.sleep((long) ((loaded.seconds() + linger) * 1000));
    System.out.println(
        emulator.metrics().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS));
    emulator.stop().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    return 0;
  }
}
