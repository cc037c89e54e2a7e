package saltlatch.lab.scale;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import saltlatch.lab.hollow.NodeConfig;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.rig.Processes;

/**
 * Measures one real node by the number of quota plans in its settings. {@code plans.start} holds
 * the CPU time and seconds from the node's start until it answers PING, heap after a collection,
 * and peak RSS; COUNT is 1, or 0 if the node did not start. {@code plans.ends} is the largest
 * number of plans with which the node started, with a relative precision of {@value #PRECISION}.
 */
final class PlansScale implements ScaleTest {
  private static final long ENTRIES = 100; // app servers in the list
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double PRECISION = 0.05;

  private final TestEnvironment environment;
  private long largestStarted;
  private long smallestFailed = Long.MAX_VALUE;

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

  /**
   * Searches by bisection between the largest number of plans with which the node started and the
   * smallest with which it failed.
   */
  @Override
  public Map<String, Long> measuredLimits() throws Exception {
    if (smallestFailed == Long.MAX_VALUE) return Map.of();
    while (smallestFailed - largestStarted > largestStarted * PRECISION)
      start((largestStarted + smallestFailed) / 2);
    return Map.of("plans.ends", largestStarted);
  }

  private MetricValues start(long size) throws Exception {
    try (SourceProcess source = new SourceProcess(environment, ENTRIES);
        Processes nodes = environment.nodes(
            number -> NodeConfig.of(number, 1, source.address()).withPlans((int) size).json())) {
      long startedAt = System.nanoTime();
      try {
        nodes.start(1);
      } catch (IOException e) {
        smallestFailed = Math.min(smallestFailed, size);
        return MetricValues.of(Quantity.COUNT, 0);
      }
      largestStarted = Math.max(largestStarted, size);
      long pid = nodes.pid(0);
      return MetricValues.of(Quantity.CPU_MS, (double) ProcessMetrics.cpu(pid).processMs())
          .and(Quantity.SECONDS, (System.nanoTime() - startedAt) / NANOS_PER_SECOND)
          .and(Quantity.RSS_BYTES, (double) ProcessMetrics.peakRssBytes(pid))
          .and(Quantity.HEAP_BYTES, (double) ProcessMetrics.heldHeapBytes(pid))
          .and(Quantity.COUNT, 1);
    }
  }
}
