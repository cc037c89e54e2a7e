package saltlatch.lab.scale;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import saltlatch.lab.hollow.NodeConfig;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.rig.Processes;

/**
 * Customers' plans in the settings of one real node: {@code plans.start} (CPU and time from its
 * start until it answers PING, heap held after a collection, RSS at its highest; COUNT 1, or 0
 * where it did not start), and {@code plans.ends}, the largest number with which it started, to a
 * part of {@value #PRECISION}.
 */
final class PlansScale implements ScaleTest {
  private static final long ENTRIES = 100; // app servers in the list meanwhile
  private static final double NANOS = 1e9; // in a second
  private static final double PRECISION = 0.05;

  private final TestEnvironment environment;
  private long started; // the largest that did
  private long failed = Long.MAX_VALUE; // the smallest that did not

  PlansScale(TestEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public String name() {
    return "plans";
  }

  @Override
  public String grows() {
    return "plans";
  }

  @Override
  public List<Long> sizes() {
    return List.of(1_200L, 4_800L, 19_250L, 77_000L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(TestEnvironment.NODE_BYTES + TestEnvironment.SOURCE_BYTES, 2);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    return Map.of("plans.start", start(size));
  }

  /** Halves the range between a number that started and one that did not. */
  @Override
  public Map<String, Long> measuredLimits() throws Exception {
    if (failed == Long.MAX_VALUE) return Map.of();
    while (failed - started > started * PRECISION) start((started + failed) / 2);
    return Map.of("plans.ends", started);
  }

  private MetricValues start(long size) throws Exception {
    try (SourceProcess source = new SourceProcess(environment, ENTRIES);
        Processes nodes = environment.nodes(
            number -> NodeConfig.of(number, 1, source.address()).withPlans((int) size).json())) {
      long from = System.nanoTime();
      try {
        nodes.start(1);
      } catch (IOException e) {
        failed = Math.min(failed, size);
        return MetricValues.of(Quantity.COUNT, 0);
      }
      started = Math.max(started, size);
      long pid = nodes.pid(0);
      return MetricValues.of(Quantity.CPU_MS, (double) ProcessMetrics.cpu(pid).processMs())
          .and(Quantity.SECONDS, (System.nanoTime() - from) / NANOS)
          .and(Quantity.RSS_BYTES, (double) ProcessMetrics.peakRssBytes(pid))
          .and(Quantity.HEAP_BYTES, (double) ProcessMetrics.heldHeapBytes(pid))
          .and(Quantity.COUNT, 1);
    }
  }
}
