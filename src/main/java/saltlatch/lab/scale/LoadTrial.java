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
 * One real node before the emulator's counter and app servers, which answer within 2 ms, under an
 * open-loop load, with no history kept; then the same load straight to the app servers. 200
 * customers, quotas that no customer reaches.
 */
final class LoadTrial {
  private static final double SECONDS = 14; // of load
  // of it, before CPU and counts are read: compiles, connects
  private static final long WARM_MS = 5_000;
  private static final int START_S = 30;
  private static final double THOUSAND = 1_000; // us in a ms, ms in a second
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

  /** From the end of the warm-up to the end of the load. */
  record Node(double requestsPerSecond, double cpuMsPerSecond, double callsPerSecond,
      double callBytesPerSecond, double answerBytesPerSecond, Latency latency) {}

  /** Of the whole load, ms; {@code late}: by which the load tool itself sent too late. */
  record Latency(double p50, double p99, double lateP50, double lateP99, long passed, long tries) {}

  private final TestEnvironment environment;

  LoadTrial(TestEnvironment environment) {
    this.environment = environment;
  }

  private static Scenario scenario(long requestsPerSecond, long seed) throws Exception {
    return Scenario.parse(SCENARIO.formatted(seed, SECONDS, requestsPerSecond, requestsPerSecond,
        4 * requestsPerSecond));
  }

  /** Through a node. */
  Node node(long requestsPerSecond, long seed) throws Exception {
    Scenario scenario = scenario(requestsPerSecond, seed);
    LabClock clock = LabClock.waiting();
    Emulator emulator = new Emulator(scenario, clock);
    try (Processes nodes = started(emulator)) {
      LoadRunner load = new LoadRunner(scenario, OpenLoopSchedule.of(scenario), nodes.ports(),
          clock);
      clock.begin();
      var done = load.run().toCompletionStage().toCompletableFuture();
      Thread.sleep(WARM_MS);
      ProcessMetrics.Cpu cpu = ProcessMetrics.cpu(nodes.pid(0));
      Counts before = Counts.of(nodes, emulator);
      Thread.sleep((long) (SECONDS * THOUSAND) - WARM_MS);
      double used = ProcessMetrics.cpu(nodes.pid(0)).msSince(cpu);
      Counts after = Counts.of(nodes, emulator);
      done.get(START_S, TimeUnit.SECONDS);
      double window = SECONDS - WARM_MS / THOUSAND;
      Node node = new Node((after.requests - before.requests) / window, used / window,
          (after.calls - before.calls) / window, (after.callBytes - before.callBytes) / window,
          (after.answerBytes - before.answerBytes) / window, latency(load));
      load.close();
      return node;
    } finally {
      emulator.stop();
    }
  }

  private Processes started(Emulator emulator) throws Exception {
    emulator.start().toCompletionStage().toCompletableFuture().get(START_S, TimeUnit.SECONDS);
    Processes nodes = environment.nodes(emulator::nodeConfig);
    nodes.start(1);
    return nodes;
  }

  /** Straight to the app servers. */
  Latency direct(long requestsPerSecond, long seed) throws Exception {
    Scenario scenario = scenario(requestsPerSecond, seed);
    LabClock clock = LabClock.waiting();
    Emulator emulator = new Emulator(scenario, clock);
    try {
      emulator.start().toCompletionStage().toCompletableFuture().get(START_S, TimeUnit.SECONDS);
      LoadRunner load = new LoadRunner(scenario, OpenLoopSchedule.of(scenario),
          List.copyOf(emulator.serverPorts()), clock);
      clock.begin();
      load.run().toCompletionStage().toCompletableFuture().get((long) SECONDS + START_S,
          TimeUnit.SECONDS);
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

  /** What the node and the counter's stand-in have counted by now. */
  private record Counts(long requests, long calls, long callBytes, long answerBytes) {
    static Counts of(Processes nodes, Emulator emulator) throws Exception {
      Map<String, Long> standIns = emulator.metrics().toCompletionStage().toCompletableFuture()
          .get(START_S, TimeUnit.SECONDS);
      return new Counts(nodes.metrics(0).get("reqs"), standIns.get("counter_calls"),
          standIns.get("counter_bytes_in"), standIns.get("counter_bytes_out"));
    }
  }
}
