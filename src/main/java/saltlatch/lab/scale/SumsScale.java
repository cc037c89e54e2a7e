package saltlatch.lab.scale;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.emulator.Emulator;
import saltlatch.lab.load.LoadRunner;
import saltlatch.lab.plan.OpenLoopSchedule;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.rig.Processes;
import saltlatch.lab.scenario.Scenario;

/**
 * Real nodes that share every customer's quota while the counter says nothing: {@code sums.jam}, of
 * one node a second, the datagrams and bytes that it tells the others and is told, and its CPU, at
 * 24 requests/s a node. 200 customers; the nodes do not know each other.
 */
final class SumsScale implements ScaleTest {
  private static final double SECONDS = 16; // of load, the counter silent all the while and beyond
  private static final long WARM_MS = 8_000; // of it, before anything is read
  private static final int RATE = 24; // requests/s a node
  private static final int START_S = 30;
  private static final double THOUSAND = 1_000; // ms in a second
  private static final String SCENARIO = """
      name = "sums"
      seed = %d
      seconds = %s
      nodes = %d
      [servers]
      count = 8
      median_ms = 1.0
      p99_ms = 1.1
      [[counter.faults]]
      kind = "silent"
      at_s = 0
      for_s = 60
      [peers]
      intake = 60
      [load]
      rate = %d
      customers = 200
      submit_share = 0.2
      [plan]
      rate = %d
      burst = %d
      """;

  private final TestEnvironment environment;

  SumsScale(TestEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public String name() {
    return "sums";
  }

  @Override
  public String grows() {
    return "nodes";
  }

  /**
   * Beyond the 30 nodes up to which each new one tells the others one datagram a second more; the
   * lab holds 64.
   */
  @Override
  public List<Long> sizes() {
    return List.of(32L, 38L, 46L, 55L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(size * TestEnvironment.NODE_BYTES, (int) size);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    long rate = RATE * size;
    Scenario scenario = Scenario
        .parse(SCENARIO.formatted(repeat, SECONDS, size, rate, rate, 4 * rate));
    LabClock clock = LabClock.waiting();
    Emulator emulator = new Emulator(scenario, clock);
    emulator.start().toCompletionStage().toCompletableFuture().get(START_S, TimeUnit.SECONDS);
    try (Processes nodes = environment.nodes(emulator::nodeConfig)) {
      nodes.start((int) size);
      LoadRunner load = new LoadRunner(scenario, OpenLoopSchedule.of(scenario), nodes.ports(),
          clock);
      clock.begin();
      var done = load.run().toCompletionStage().toCompletableFuture();
      Thread.sleep(WARM_MS);
      Counts before = Counts.of(nodes, emulator);
      Thread.sleep((long) (SECONDS * THOUSAND) - WARM_MS);
      Counts after = Counts.of(nodes, emulator);
      done.get(START_S, TimeUnit.SECONDS);
      load.close();
      return Map.of("sums.jam", after.since(before, size * (SECONDS - WARM_MS / THOUSAND)));
    } finally {
      emulator.stop();
    }
  }

  @Override
  public String remark() {
    return "sums: up to 30 nodes a node is told one datagram a second by each other; in larger fleets each tells more "
        + "seldom, so that none takes in more than half of its 60. No line goes through both.";
  }

  /** All nodes' by then: told and heard by their own counters, bytes by the relay between them. */
  private record Counts(long told, long heard, long bytesTold, long bytesHeard, double cpuMs) {
    static Counts of(Processes nodes, Emulator emulator) throws Exception {
      long told = 0;
      long heard = 0;
      double cpu = 0;
      for (int i = 0; i < nodes.ports().size(); i++) {
        Map<String, Long> metrics = nodes.metrics(i);
        told += metrics.get("peers_told");
        heard += metrics.get("peers_heard");
        cpu += ProcessMetrics.cpu(nodes.pid(i)).processMs();
      }
      Map<String, Long> standIns = emulator.metrics().toCompletionStage().toCompletableFuture()
          .get(START_S, TimeUnit.SECONDS);
      return new Counts(told, heard, standIns.get("peer_bytes_in"), standIns.get("peer_bytes_out"),
          cpu);
    }

    MetricValues since(Counts before, double units) {
      return MetricValues.of(Quantity.MESSAGES_OUT, (told - before.told) / units)
          .and(Quantity.MESSAGES_IN, (heard - before.heard) / units)
          .and(Quantity.BYTES_OUT, (bytesTold - before.bytesTold) / units)
          .and(Quantity.BYTES_IN, (bytesHeard - before.bytesHeard) / units)
          .and(Quantity.CPU_MS, (cpuMs - before.cpuMs) / units);
    }
  }
}
