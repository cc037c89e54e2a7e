package saltlatch.lab.scale;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.hollow.NodeConfig;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.rig.Processes;

/**
 * Measures one real node by the number of app servers in discovery's list. {@code list.start} holds
 * the CPU time from the node's start until one second after it has read the list, in which it
 * applies the list; the seconds until it has read the list; the bytes read; and the heap after a
 * collection and peak RSS at the end of the test. Its COUNT is the number of lists that the node
 * accepted, 0 if it could not. {@code list.rest} is the cost of one second in which the list does
 * not change, whether or not the node accepted it. {@code list.change} is the cost of one app
 * server's change in excess of {@code list.rest}.
 */
final class ListScale implements ScaleTest {
  private static final long READ_TIMEOUT_MS = 20_000; // after which a list counts as not accepted
  private static final long POLL_INTERVAL_MS = 50;
  private static final long APPLY_MS = 1_000; // for applying a list that was read
  private static final long SETTLE_MS = 2_000; // for JIT compilation after the start
  private static final long WINDOW_MS = 6_000; // without changes, and again with changes
  private static final double CHANGES_PER_SECOND = 10;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TestEnvironment environment;

  ListScale(TestEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public String name() {
    return "list";
  }

  @Override
  public String grows() {
    return "app servers";
  }

  @Override
  public List<Long> sizes() {
    return List.of(1_000L, 3_200L, 10_500L, 34_000L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(TestEnvironment.NODE_BYTES + TestEnvironment.SOURCE_BYTES, 2);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    try (SourceProcess source = new SourceProcess(environment, size);
        Processes nodes = environment
            .nodes(number -> NodeConfig.of(number, 1, source.address()).json())) {
      MetricValues start = start(nodes, source);
      measured.put("list.start", start);
      Thread.sleep(SETTLE_MS);
      ResourceSnapshot.ResourceUsage rest = window(nodes.pid(0), source, 0);
      measured.put("list.rest",
          MetricValues.of(Quantity.CPU_MS, rest.cpuMs() / rest.seconds())
              .and(Quantity.BYTES_IN, rest.bytes() / rest.seconds())
              .and(Quantity.MESSAGES_IN, rest.messages() / rest.seconds()));
      if (start.map().get(Quantity.COUNT) > 0) {
        measured.put("list.change", change(rest, window(nodes.pid(0), source, CHANGES_PER_SECOND)));
      }
      start.and(Quantity.RSS_BYTES, (double) ProcessMetrics.peakRssBytes(nodes.pid(0)));
      start.and(Quantity.HEAP_BYTES, (double) ProcessMetrics.heldHeapBytes(nodes.pid(0)));
    }
    return measured;
  }

  private MetricValues start(Processes nodes, SourceProcess source)
      throws IOException, InterruptedException {
    long startedAt = System.nanoTime();
    nodes.start(1);
    while (acceptedLists(nodes) == 0 && System.nanoTime() - startedAt < READ_TIMEOUT_MS * 1_000_000)
      Thread.sleep(POLL_INTERVAL_MS);
    double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
    Thread.sleep(APPLY_MS);
    return MetricValues.of(Quantity.CPU_MS, (double) ProcessMetrics.cpu(nodes.pid(0)).processMs())
        .and(Quantity.SECONDS, seconds).and(Quantity.BYTES_IN, (double) source.sent().bytesOut())
        .and(Quantity.COUNT, (double) acceptedLists(nodes));
  }

  private static long acceptedLists(Processes nodes) {
    return nodes.metrics(0).getOrDefault("lists", 0L);
  }

  private static ResourceSnapshot.ResourceUsage window(long pid, SourceProcess source,
      double changesPerSecond) throws IOException, InterruptedException {
    source.rate(changesPerSecond);
    ResourceSnapshot atStart = ResourceSnapshot.of(pid, source);
    Thread.sleep(WINDOW_MS);
    ResourceSnapshot.ResourceUsage usage = atStart.usageUntilNow();
    source.rate(0);
    return usage;
  }

  private static MetricValues change(ResourceSnapshot.ResourceUsage rest,
      ResourceSnapshot.ResourceUsage changes) {
    double restCpuMs = rest.cpuMs() / rest.seconds() * changes.seconds();
    return MetricValues.of(Quantity.CPU_MS, (changes.cpuMs() - restCpuMs) / changes.changes())
        .and(Quantity.BYTES_IN, (double) changes.bytes() / changes.changes())
        .and(Quantity.MESSAGES_IN, (double) changes.messages() / changes.changes());
  }
}
