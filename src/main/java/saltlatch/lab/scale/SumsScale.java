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
 * Measures real nodes that share each customer's quota while the counter does not answer.
 * {@code sums.jam} holds one node's sent and received gossip datagrams and bytes and its CPU time a
 * second, at {@value #REQUESTS_PER_SECOND_PER_NODE} requests/s for each node and with 200
 * customers. Membership is off.
 */
final class SumsScale implements ScaleTest {
  private static final double LOAD_SECONDS = 16; // shorter than the counter fault of 60 s
  private static final long WARM_UP_MS = 8_000; // part of the load that is not measured
  private static final int REQUESTS_PER_SECOND_PER_NODE = 24;
  private static final int TIMEOUT_SECONDS = 30; // for each asynchronous step
  private static final double MS_PER_SECOND = 1_000;
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
   * Returns sizes above 30 nodes, up to which each node receives one datagram a second from each
   * other node, and below the laboratory's limit of 64 nodes.
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
    long rate = REQUESTS_PER_SECOND_PER_NODE * size;
    Scenario scenario = Scenario
        .parse(SCENARIO.formatted(repeat, LOAD_SECONDS, size, rate, rate, 4 * rate));
    LabClock clock = LabClock.waiting();
    Emulator emulator = new Emulator(scenario, clock);
    emulator.start().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS,
        TimeUnit.SECONDS);
    try (Processes nodes = environment.nodes(emulator::nodeConfig)) {
      nodes.start((int) size);
      LoadRunner load = new LoadRunner(scenario, OpenLoopSchedule.of(scenario), nodes.ports(),
          clock);
      clock.begin();
      var done = load.run().toCompletionStage().toCompletableFuture();
      Thread.sleep(WARM_UP_MS);
      Counts countsBefore = Counts.of(nodes, emulator);
      Thread.sleep((long) (LOAD_SECONDS * MS_PER_SECOND) - WARM_UP_MS);
      Counts countsAfter = Counts.of(nodes, emulator);
      done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      load.close();
      return Map.of("sums.jam",
          countsAfter.since(countsBefore, size * (LOAD_SECONDS - WARM_UP_MS / MS_PER_SECOND)));
    } finally {
      emulator.stop();
    }
  }

  @Override
  public String remark() {
    return "sums: up to 30 nodes a node is told one datagram a second by each other; in larger fleets each tells more "
        + "seldom, so that none takes in more than half of its 60. No line goes through both.";
  }

  /**
   * Totals of all nodes so far: datagrams as the nodes count them, bytes as the simulated network
   * between them does.
   */
  private record Counts(long datagramsSent, long datagramsReceived, long bytesSent,
      long bytesReceived, double cpuMs) {
    static Counts of(Processes nodes, Emulator emulator) throws Exception {
      long datagramsSent = 0;
      long datagramsReceived = 0;
      double cpuMs = 0;
      for (int i = 0; i < nodes.ports().size(); i++) {
        Map<String, Long> metrics = nodes.metrics(i);
        datagramsSent += metrics.get("peers_told");
        datagramsReceived += metrics.get("peers_heard");
        cpuMs += ProcessMetrics.cpu(nodes.pid(i)).processMs();
      }
      Map<String, Long> emulatorMetrics = emulator.metrics().toCompletionStage()
          .toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return new Counts(datagramsSent, datagramsReceived, emulatorMetrics.get("peer_bytes_in"),
          emulatorMetrics.get("peer_bytes_out"), cpuMs);
    }

    MetricValues since(Counts countsBefore, double nodeSeconds) {
      return MetricValues
          .of(Quantity.MESSAGES_OUT, (datagramsSent - countsBefore.datagramsSent) / nodeSeconds)
          .and(Quantity.MESSAGES_IN,
              (datagramsReceived - countsBefore.datagramsReceived) / nodeSeconds)
          .and(Quantity.BYTES_OUT, (bytesSent - countsBefore.bytesSent) / nodeSeconds)
          .and(Quantity.BYTES_IN, (bytesReceived - countsBefore.bytesReceived) / nodeSeconds)
          .and(Quantity.CPU_MS, (cpuMs - countsBefore.cpuMs) / nodeSeconds);
    }
  }
}
