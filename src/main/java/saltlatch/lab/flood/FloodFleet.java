package saltlatch.lab.flood;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.rig.SharedCore;
import saltlatch.lab.scenario.Scenario;

/**
 * Four node processes that share a core with busy processes, their usual clients, and the clients
 * that flood the first node. Used from one thread.
 */
public final class FloodFleet implements AutoCloseable {
  private static final int NODES = 4;
  private static final double RATE_PER_SECOND = 160;
  private static final long DEADLINE_MS = 767;

  private final Emulator emulator;
  private final SharedCore sharedCore;
  private final Processes nodes;
  private final AtomicLong messageNumbers = new AtomicLong();
  private UsualClients usual;

  /**
   * Starts the nodes and waits until they serve.
   *
   * @param program the built program, and the directory for its logs
   * @param core    the number of the core that all nodes and busy processes share
   * @param busy    the number of busy processes
   * @param seed    sets the usual requests
   */
  public FloodFleet(Processes.Program program, int core, int busy, long seed) throws Exception {
    emulator = new Emulator(Scenario.parse(scenario(seed)), new LabClock());
    emulator.start().toCompletionStage().toCompletableFuture().get();
    sharedCore = new SharedCore(core);
    nodes = new Processes(program.withPrefix(sharedCore.prefix()),
        (node, old) -> emulator.nodeConfig(node));
    try {
      sharedCore.startBusyProcesses(busy);
      nodes.start(NODES);
      usual = new UsualClients(nodes.ports(), RATE_PER_SECOND, DEADLINE_MS, seed);
      usual.start();
    } catch (IOException | InterruptedException e) {
      close();
      throw e;
    }
  }

  private static String scenario(long seed) {
    return String.format(Locale.ROOT, """
        name = "flood"
        seed = %d
        nodes = %d
        [servers]
        count = 12
        median_ms = 60
        p99_ms = 200
        concurrency = 64
        [counter]
        latency_ms = 2
        [peers]
        intake = 60
        [plan]
        rate = 100
        burst = 400
        aim_ms = 400
        deadline_ms = %d
        """, seed, NODES, DEADLINE_MS);
  }

  /** Returns what the usual clients see in this time without a flood. */
  public UsualTimes calm(long durationMs) throws Exception {
    return measure(durationMs);
  }

  /** Returns what the usual clients see in this time while these connections flood a node. */
  public UsualTimes flood(FloodKind kind, int connections, long durationMs) throws Exception {
    List<FloodingClient> clients = new ArrayList<>();
    for (int i = 0; i < connections; i++)
      clients.add(new FloodingClient(kind, nodes.ports().get(0), messageNumbers));
    UsualTimes times = measure(durationMs);
    for (FloodingClient client : clients) client.close();
    return times;
  }

  /** Waits until the requests of this time have ended, while new ones go on. */
  private UsualTimes measure(long durationMs) throws Exception {
    Thread.sleep(durationMs);
    usual.awaitSentBefore(System.nanoTime());
    return UsualTimes.of(usual.takeFinished(), DEADLINE_MS);
  }

  /** Returns the flooded node's resident memory in KB; 0 if its process has ended. */
  public long residentKb() {
    return nodes.metrics(0).getOrDefault("rss_kb", 0L);
  }

  /** Ends all processes and the emulated systems. */
  @Override
  public void close() {
    if (usual != null) usual.close();
    nodes.close();
    sharedCore.close();
    emulator.stop().toCompletionStage().toCompletableFuture().join();
  }

  /** Returns the program in the build directory, with logs in this directory. */
  public static Processes.Program program(Path directory) throws IOException {
    return Processes.Program.of(Path.of("deploy/balancer.toml"), Path.of("target/saltlatch.jar"),
        directory);
  }
}
