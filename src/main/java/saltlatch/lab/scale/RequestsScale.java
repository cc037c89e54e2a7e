package saltlatch.lab.scale;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests a second at one real node: {@code requests.rate} (its CPU a second; P50_MS and P99_MS
 * are what it adds: latency through it less the same load's straight to the app servers, quantile
 * by quantile), {@code requests.direct} (the latter) and {@code requests.late} (by how much the
 * load tool sent too late on the way through the node).
 */
final class RequestsScale implements ScaleTest {
  private final LoadTrial trial;
  private boolean warm;

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
    // so that the load tool's and the stand-ins' code is compiled
    if (!warm) trial.direct(size, repeat);
    warm = true;
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
