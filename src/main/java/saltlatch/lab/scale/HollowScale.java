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
 * Measures hollow nodes in one process that all start at once with a list of {@value #ENTRIES} app
 * servers. {@code hollow.start} holds CPU time and seconds until all nodes have the list, heap
 * after a collection, and RSS; {@code hollow.rest} the CPU time a second without changes; and
 * {@code hollow.change} the CPU time of a change that all nodes apply, in excess of
 * {@code hollow.rest}. Values are those of the process, which limit how many nodes it can run.
 */
final class HollowScale implements ScaleTest {
  // a tenth of the expected list: a machine can't hold the full list for so many nodes
  static final int ENTRIES = 3_400;
  // upper bound on the heap of one hollow node with such a list
  private static final long NODE_BYTES = 4L << 20;
  private static final long PROCESS_BYTES = 256L << 20; // of a JVM without its nodes
  private static final long START_TIMEOUT_MS = 120_000;
  private static final long POLL_INTERVAL_MS = 100;
  private static final long SETTLE_MS = 3_000;
  private static final long WINDOW_MS = 6_000;
  private static final double CHANGES_PER_SECOND = 5;
  private static final double NANOS_PER_SECOND = 1e9;

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
    Files.deleteIfExists(report); // written at the previous size
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
      double restCpuMsPerSecond = rest.cpuMs() / rest.seconds();
      start.and(Quantity.RSS_BYTES, (double) ProcessMetrics.rssBytes(process.pid()))
          .and(Quantity.HEAP_BYTES, (double) ProcessMetrics.heldHeapBytes(process.pid()));
      measured.put("hollow.start", start);
      measured.put("hollow.rest", MetricValues.of(Quantity.CPU_MS, restCpuMsPerSecond));
      measured
          .put("hollow.change",
              MetricValues
                  .of(Quantity.CPU_MS,
                      (changes.cpuMs() - restCpuMsPerSecond * changes.seconds())
                          / changes.changes())
                  .and(Quantity.BYTES_IN, (double) changes.bytes() / changes.changes()));
    }
    return measured;
  }

  private static ResourceSnapshot.ResourceUsage window(long pid, SourceProcess source,
      double changesPerSecond) throws Exception {
    source.rate(changesPerSecond);
    ResourceSnapshot atStart = ResourceSnapshot.of(pid, source);
    Thread.sleep(WINDOW_MS);
    ResourceSnapshot.ResourceUsage usage = atStart.usageUntilNow();
    source.rate(0);
    return usage;
  }

  /** Returns the seconds from the first node's start until the last node has its first list. */
  private static double awaitLists(Path report, long nodes) throws Exception {
    long deadline = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
    while (System.nanoTime() < deadline) {
      long withList = 0;
      long firstAtNanos = Long.MAX_VALUE;
      long lastAtNanos = 0;
      for (JsonObject line : lines(report)) {
        if (!line.has("node")) continue;
        firstAtNanos = Math.min(firstAtNanos, line.get("at_nanos").getAsLong());
        // index 0 is the empty list that the node starts with
        if (line.get("index").getAsLong() == 0) continue;
        withList++;
        lastAtNanos = Math.max(lastAtNanos, line.get("at_nanos").getAsLong());
      }
      if (withList >= nodes) return (lastAtNanos - firstAtNanos) / NANOS_PER_SECOND;
      Thread.sleep(POLL_INTERVAL_MS);
    }
    throw new IOException("expected all " + nodes + " nodes to have a list within "
        + START_TIMEOUT_MS + " ms; see " + report);
  }

  private static List<JsonObject> lines(Path report) throws IOException {
    if (!Files.exists(report)) return List.of();
    String text = Files.readString(report);
    return text.substring(0, text.lastIndexOf('\n') + 1).lines()
        .map(line -> JsonParser.parseString(line).getAsJsonObject()).toList();
  }
}
