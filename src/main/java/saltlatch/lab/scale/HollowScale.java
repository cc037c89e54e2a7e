package saltlatch.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.rig.ChildJvm;
import saltlatch.lab.rig.ProcessMetrics;

/**
 * Hollow nodes of one process, all started at once before a list of {@value #ENTRIES} app servers:
 * {@code hollow.start} (CPU and seconds until all of them have the list, heap held and RSS),
 * {@code hollow.rest} (CPU a second) and {@code hollow.change} (CPU for a change that all apply,
 * beyond rest). Values are the process': it tells how many fit.
 */
final class HollowScale implements ScaleTest {
  // a tenth of the size that is coming: the tenfold of it does not fit a machine
  static final int ENTRIES = 3_400;
  // one hollow node's heap before such a list, at the most
  private static final long NODE_BYTES = 4L << 20;
  private static final long PROCESS_BYTES = 256L << 20; // of a JVM beside its nodes
  private static final long START_MS = 120_000;
  private static final long LOOK_MS = 100;
  private static final long SETTLE_MS = 3_000;
  private static final long WINDOW_MS = 6_000;
  private static final double CHANGES_PER_SECOND = 5;
  private static final double NANOS = 1e9; // in a second

  private final TestEnvironment environment;

  HollowScale(TestEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public String name() {
    return "hollow";
  }

  @Override
  public String grows() {
    return "hollow nodes";
  }

  @Override
  public List<Long> sizes() {
    return List.of(10L, 30L, 100L, 300L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(
        size * NODE_BYTES + PROCESS_BYTES + TestEnvironment.SOURCE_BYTES, 2);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    Path report = environment.dir().resolve("hollow.jsonl");
    Files.deleteIfExists(report); // of the size before
    long heapMb = (size * NODE_BYTES + PROCESS_BYTES) >> 20;
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    try (SourceProcess source = new SourceProcess(environment, ENTRIES);
        ChildJvm process = new ChildJvm(
            List.of("-Xmx" + heapMb + "m", "-XX:+UseSerialGC",
                "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn"),
            environment.tools(), List.of("lab", "hollow", "--nodes", "" + size, "--discovery",
                source.address(), "--report", report.toString()),
            environment.dir().resolve("hollow.log"))) {
      double seconds = awaitLists(report, size);
      MetricValues start = MetricValues
          .of(Quantity.CPU_MS, (double) ProcessMetrics.cpu(process.pid()).processMs())
          .and(Quantity.SECONDS, seconds).and(Quantity.BYTES_IN, (double) source.sent().bytesOut());
      Thread.sleep(SETTLE_MS);
      ResourceSnapshot.ResourceUsage rest = window(process.pid(), source, 0);
      ResourceSnapshot.ResourceUsage changes = window(process.pid(), source, CHANGES_PER_SECOND);
      double atRest = rest.cpuMs() / rest.seconds();
      start.and(Quantity.RSS_BYTES, (double) ProcessMetrics.rssBytes(process.pid()))
          .and(Quantity.HEAP_BYTES, (double) ProcessMetrics.heldHeapBytes(process.pid()));
      measured.put("hollow.start", start);
      measured.put("hollow.rest", MetricValues.of(Quantity.CPU_MS, atRest));
      measured.put("hollow.change",
          MetricValues
              .of(Quantity.CPU_MS,
                  (changes.cpuMs() - atRest * changes.seconds()) / changes.changes())
              .and(Quantity.BYTES_IN, (double) changes.bytes() / changes.changes()));
    }
    return measured;
  }

  private static ResourceSnapshot.ResourceUsage window(long pid, SourceProcess source,
      double changesPerSecond) throws Exception {
    source.rate(changesPerSecond);
    ResourceSnapshot from = ResourceSnapshot.of(pid, source);
    Thread.sleep(WINDOW_MS);
    ResourceSnapshot.ResourceUsage used = from.usageUntilNow();
    source.rate(0);
    return used;
  }

  /** Seconds from the first node's start to the last one's first whole list. */
  private static double awaitLists(Path report, long nodes) throws Exception {
    long until = System.nanoTime() + START_MS * 1_000_000;
    while (System.nanoTime() < until) {
      long withList = 0;
      long first = Long.MAX_VALUE;
      long last = 0;
      for (JsonObject line : lines(report)) {
        if (!line.has("node")) continue;
        first = Math.min(first, line.get("at_nanos").getAsLong());
        if (line.get("index").getAsLong() == 0) continue; // the empty list that it starts with
        withList++;
        last = Math.max(last, line.get("at_nanos").getAsLong());
      }
      if (withList >= nodes) return (last - first) / NANOS;
      Thread.sleep(LOOK_MS);
    }
    throw new IOException("not all nodes have a list: " + report);
  }

  private static List<JsonObject> lines(Path report) throws IOException {
    if (!Files.exists(report)) return List.of();
    String text = Files.readString(report);
    return text.substring(0, text.lastIndexOf('\n') + 1).lines()
        .map(line -> JsonParser.parseString(line).getAsJsonObject()).toList();
  }
}
