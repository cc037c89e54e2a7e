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
 * Runs an open-loop load through one real node with the emulator's counter and app servers, which
 * answer within 2 ms, or sends the same load directly to the app servers. No history is recorded.
 * There are 200 customers, none of which reaches its quota.
 */
final class LoadTrial {
  private static final double LOAD_SECONDS = 14;
  // part of the load in which code is compiled and connections are opened; not measured
  private static final long WARM_UP_MS = 5_000;
  private static final int TIMEOUT_SECONDS = 30; // for each asynchronous step
  private static final double THOUSAND = 1_000; // microseconds in a ms, ms in a second
  private static final String SCENARIO = """
      name = "scale"
      seed = %d
      seconds = %s
      nodes = 1
      [servers]
      count = 8
      median_ms = 1.0
      p99_ms = 1.1
      [load]
      rate = %d
      customers = 200
      submit_share = 0.2
      [plan]
      rate = %d
      burst = %d
      """;

  /** Values of one node from the end of the warm-up until the end of the load. */
  record Node(double requestsPerSecond, double cpuMsPerSecond, double callsPerSecond,
      double callBytesPerSecond, double answerBytesPerSecond, Latency latency) {}

  /**
   * Latencies of the complete load, in ms. {@code lateP50} and {@code lateP99} are delays of the
   * load generator behind its schedule.
   */
  record Latency(double p50, double p99, double lateP50, double lateP99, long succeeded,
      long attempts) {}

  private final TestEnvironment environment;

  LoadTrial(TestEnvironment environment) {
    this.environment = environment;
  }

  private static Scenario scenario(long requestsPerSecond, long seed) throws Exception {
    return Scenario.parse(SCENARIO.formatted(seed, LOAD_SECONDS, requestsPerSecond,
        requestsPerSecond, 4 * requestsPerSecond));
  }

  /** Sends the load through a node. */
  Node node(long requestsPerSecond, long seed) throws Exception {
    Scenario scenario = scenario(requestsPerSecond, seed);
    LabClock clock = LabClock.waiting();
    Emulator emulator = new Emulator(scenario, clock);
    try (Processes nodes = startNode(emulator)) {
      LoadRunner load = new LoadRunner(scenario, OpenLoopSchedule.of(scenario), nodes.ports(),
          clock);
      clock.begin();
      var done = load.run().toCompletionStage().toCompletableFuture();
      Thread.sleep(WARM_UP_MS);
      ProcessMetrics.Cpu cpuBefore = ProcessMetrics.cpu(nodes.pid(0));
      Counts countsBefore = Counts.of(nodes, emulator);
      Thread.sleep((long) (LOAD_SECONDS * THOUSAND) - WARM_UP_MS);
      double cpuMs = ProcessMetrics.cpu(nodes.pid(0)).msSince(cpuBefore);
      Counts countsAfter = Counts.of(nodes, emulator);
      done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      double windowSeconds = LOAD_SECONDS - WARM_UP_MS / THOUSAND;
      Node node = new Node((countsAfter.requests - countsBefore.requests) / windowSeconds,
          cpuMs / windowSeconds, (countsAfter.calls - countsBefore.calls) / windowSeconds,
          (countsAfter.callBytes - countsBefore.callBytes) / windowSeconds,
          (countsAfter.answerBytes - countsBefore.answerBytes) / windowSeconds, latency(load));
      load.close();
      return node;
    } finally {
      emulator.stop();
    }
  }

  private Processes startNode(Emulator emulator) throws Exception {
    emulator.start().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS,
        TimeUnit.SECONDS);
    Processes nodes = environment.nodes(emulator::nodeConfig);
    nodes.start(1);
    return nodes;
  }

  /** Sends the load directly to the app servers. */
  Latency direct(long requestsPerSecond, long seed) throws Exception {
    Scenario scenario = scenario(requestsPerSecond, seed);
    LabClock clock = LabClock.waiting();
    Emulator emulator = new Emulator(scenario, clock);
    try {
      emulator.start().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS,
          TimeUnit.SECONDS);
      LoadRunner load = new LoadRunner(scenario, OpenLoopSchedule.of(scenario),
          List.copyOf(emulator.serverPorts()), clock);
      clock.begin();
      load.run().toCompletionStage().toCompletableFuture()
          .get((long) LOAD_SECONDS + TIMEOUT_SECONDS, TimeUnit.SECONDS);
      Latency latency = latency(load);
      load.close();
      return latency;
    } finally {
      emulator.stop();
    }
  }

  private static Latency latency(LoadRunner load) {
    Map<String, Long> latency = load.latency();
    Map<String, Long> late = load.senderLate();
    return new Latency(latency.get("passed_p50") / THOUSAND, latency.get("passed_p99") / THOUSAND,
        late.get("p50") / THOUSAND, late.get("p99") / THOUSAND,
        load.outcomes().getOrDefault(saltlatch.lab.load.Outcome.PASSED, 0L), load.attempts());
  }

  /** Counts of the node and of the simulated counter so far. */
  private record Counts(long requests, long calls, long callBytes, long answerBytes) {
    static Counts of(Processes nodes, Emulator emulator) throws Exception {
      Map<String, Long> emulatorMetrics = emulator.metrics().toCompletionStage()
          .toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return new Counts(nodes.metrics(0).get("reqs"), emulatorMetrics.get("counter_calls"),
          emulatorMetrics.get("counter_bytes_in"), emulatorMetrics.get("counter_bytes_out"));
    }
  }
}
