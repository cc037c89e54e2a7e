package saltlatch.lab.scale;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.hollow.NodeConfig;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.lab.rig.Processes;

/**
 * App servers in discovery's list, before one real node: {@code list.start} (CPU and time from its
 * start until it has read the list, and a second more in which it applies it; bytes read; heap held
 * after a collection and RSS at its highest, both at the end; COUNT: lists that it took, 0 where it
 * could not), {@code list.rest} (a second of a list that does not change, taken or not) and
 * {@code list.change} (one app server's change, beyond what rest costs).
 */
final class ListScale implements ScaleTest {
  private static final long READ_MS = 20_000; // a list that was not taken by then is not taken
  private static final long LOOK_MS = 50; // between two looks whether it was
  private static final long APPLY_MS = 1_000; // for applying what was read
  private static final long SETTLE_MS = 2_000; // for compiles that the start has left
  private static final long WINDOW_MS = 6_000; // of rest, and of changes
  private static final double CHANGES_PER_SECOND = 10;
  private static final double NANOS = 1e9; // in a second

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
    long from = System.nanoTime();
    nodes.start(1);
    while (lists(nodes) == 0 && System.nanoTime() - from < READ_MS * 1_000_000)
      Thread.sleep(LOOK_MS);
    double seconds = (System.nanoTime() - from) / NANOS;
    Thread.sleep(APPLY_MS);
    return MetricValues.of(Quantity.CPU_MS, (double) ProcessMetrics.cpu(nodes.pid(0)).processMs())
        .and(Quantity.SECONDS, seconds).and(Quantity.BYTES_IN, (double) source.sent().bytesOut())
        .and(Quantity.COUNT, (double) lists(nodes));
  }

  private static long lists(Processes nodes) {
    return nodes.metrics(0).getOrDefault("lists", 0L);
  }

  private static ResourceSnapshot.ResourceUsage window(long pid, SourceProcess source,
      double changesPerSecond) throws IOException, InterruptedException {
    source.rate(changesPerSecond);
    ResourceSnapshot from = ResourceSnapshot.of(pid, source);
    Thread.sleep(WINDOW_MS);
    ResourceSnapshot.ResourceUsage used = from.usageUntilNow();
    source.rate(0);
    return used;
  }

  private static MetricValues change(ResourceSnapshot.ResourceUsage rest,
      ResourceSnapshot.ResourceUsage changes) {
    double atRest = rest.cpuMs() / rest.seconds() * changes.seconds();
    return MetricValues.of(Quantity.CPU_MS, (changes.cpuMs() - atRest) / changes.changes())
        .and(Quantity.BYTES_IN, (double) changes.bytes() / changes.changes())
        .and(Quantity.MESSAGES_IN, (double) changes.messages() / changes.changes());
  }
}
