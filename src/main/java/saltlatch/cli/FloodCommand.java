package saltlatch.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import saltlatch.lab.flood.FloodFleet;
import saltlatch.lab.flood.FloodKind;
import saltlatch.lab.flood.UsualTimes;

/**
 * {@code lab flood}: measures how usual clients are served while some connections flood a node.
 * Prints a line for each kind; exits with 1 if a usual request was late.
 */
@Command(name = "flood", mixinStandardHelpOptions = true,
    description = "Flood one of four node processes on a shared core; print what usual clients see.")
final class FloodCommand implements Callable<Integer> {
  @Option(names = "--kind", split = ",", defaultValue = "ping",
      description = "kinds of messages (${DEFAULT-VALUE})") List<String> kinds;

  @Option(names = "--connections", defaultValue = "6",
      description = "connections that flood (${DEFAULT-VALUE})") int connections;

  @Option(names = "--core", defaultValue = "1",
      description = "core that the nodes share (${DEFAULT-VALUE})") int core;

  @Option(names = "--busy", defaultValue = "2",
      description = "busy processes on that core (${DEFAULT-VALUE})") int busy;

  @Option(names = "--calm-ms", defaultValue = "6000",
      description = "time before the flood; 0: cold nodes (${DEFAULT-VALUE})") long calmMs;

  @Option(names = "--flood-ms", defaultValue = "6000",
      description = "duration of the flood (${DEFAULT-VALUE})") long floodMs;

  @Option(names = "--seed", defaultValue = "1",
      description = "seed of the usual requests (${DEFAULT-VALUE})") long seed;

  @Option(names = "--dir", defaultValue = "target/flood",
      description = "directory for logs (${DEFAULT-VALUE})") Path directory;

  @Override
  public Integer call() throws Exception {
    boolean held = true;
    try (FloodFleet fleet = new FloodFleet(FloodFleet.program(directory), core, busy, seed)) {
      if (calmMs > 0) System.out.println("calm: " + fleet.calm(calmMs));
      for (String kind : kinds) {
        UsualTimes times = fleet.flood(FloodKind.of(kind), connections, floodMs);
        System.out.println(kind + ": " + times + ", resident " + fleet.residentKb() + " KB");
        held &= times.late() == 0;
      }
    }
    return held ? 0 : 1;
  }
}
