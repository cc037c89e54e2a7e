package saltlatch.lab.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures one real node by requests a second. {@code requests.rate} holds the node's CPU time a
 * second and the latency that it adds: P50_MS and P99_MS are percentiles of the latency through the
 * node less the same percentiles of the same load sent directly to the app servers.
 * {@code requests.direct} holds the latter. {@code requests.late} is the delay of the load
 * generator behind its schedule in the run through the node.
 */
final class RequestsScale implements ScaleTest {
  private final LoadTrial trial;
  private boolean warmedUp;

  RequestsScale(TestEnvironment environment) {
    trial = new LoadTrial(environment);
  }

  @Override
  public String name() {
    return "requests";
  }

  @Override
  public String grows() {
    return "requests/s at a node";
  }

  @Override
  public List<Long> sizes() {
    return List.of(27L, 80L, 240L, 720L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(TestEnvironment.NODE_BYTES, 1);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    // so that the JIT compiler has compiled the load generator and the emulator
    if (!warmedUp) trial.direct(size, repeat);
    warmedUp = true;
    LoadTrial.Latency direct = trial.direct(size, repeat);
    LoadTrial.Node node = trial.node(size, repeat);
    LoadTrial.Latency through = node.latency();
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    measured.put("requests.rate",
        MetricValues.of(Quantity.CPU_MS, node.cpuMsPerSecond())
            .and(Quantity.COUNT, node.requestsPerSecond())
            .and(Quantity.P50_MS, through.p50() - direct.p50())
            .and(Quantity.P99_MS, through.p99() - direct.p99()));
    measured.put("requests.direct",
        MetricValues.of(Quantity.P50_MS, direct.p50()).and(Quantity.P99_MS, direct.p99()));
    measured.put("requests.late", MetricValues.of(Quantity.P50_MS, through.lateP50())
        .and(Quantity.P99_MS, through.lateP99()));
    return measured;
  }

  @Override
  public String remark() {
    return "requests: the load tool itself sends some 3 ms too late at p99 (requests.late tells this run's), so it cannot "
        + "show that 3.8 ms at p99 are kept; the CPU is not touched by that.";
  }
}
