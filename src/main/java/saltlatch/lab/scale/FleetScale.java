package saltlatch.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import saltlatch.lab.rig.ChildJvm;
import saltlatch.lab.rig.ProcessMetrics;

/**
 * Hollow nodes of {@value #PROCESSES} processes on one discovery stand-in, no relay between, before
 * a list of {@value #ENTRIES} app servers that changes twice a second: {@code fleet.change}, the
 * times from a change's put until a node has applied it, over all nodes and changes; COUNT:
 * applications seen, MESSAGES_OUT: those due; CPU_MS and BYTES_OUT: the source's for a change.
 * {@code fleet.node}: CPU of one hollow node a second meanwhile, heap held of one.
 */
final class FleetScale implements ScaleTest {
  // 2,700 nodes that each hold 34,000 don't fit half of a machine of 24 GB
  static final int ENTRIES = 1_000;
  static final int PROCESSES = 3; // a core each at the most: other runs share the machine
  // one hollow node's heap before such a list, at the most
  private static final long NODE_BYTES = 1L << 20;
  private static final long PROCESS_BYTES = 256L << 20; // of a JVM beside its nodes
  // all at once would be the start's cost, not the change's
  private static final double STARTS_PER_SECOND = 40;
  private static final long START_MS = 180_000;
  private static final long LOOK_MS = 500;
  private static final long SETTLE_MS = 5_000;
  private static final long WINDOW_MS = 20_000;
  private static final long DRAIN_MS = 2_000; // for what was put last
  private static final double CHANGES_PER_SECOND = 2;
  private static final double MILLION = 1e6; // ns in a ms

  private final TestEnvironment environment;

  FleetScale(TestEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public String name() {
    return "fleet";
  }

  @Override
  public String grows() {
    return "hollow nodes";
  }

  @Override
  public List<Long> sizes() {
    return List.of(100L, 300L, 900L, 2_700L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(
        size * NODE_BYTES + PROCESSES * PROCESS_BYTES + TestEnvironment.SOURCE_BYTES,
        PROCESSES + 1);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    List<ChildJvm> processes = new ArrayList<>();
    try (SourceProcess source = new SourceProcess(environment, ENTRIES)) {
      for (int i = 0; i < PROCESSES; i++) processes.add(process(source, i, size));
      awaitLists(source, size);
      Thread.sleep(SETTLE_MS);
      return window(source, processes, size);
    } finally {
      processes.forEach(ChildJvm::close);
    }
  }

  private ChildJvm process(SourceProcess source, int number, long size) throws IOException {
    long first = size * number / PROCESSES;
    long nodes = size * (number + 1) / PROCESSES - first;
    Files.deleteIfExists(report(number)); // of the size before
    long heapMb = (nodes * NODE_BYTES + PROCESS_BYTES) >> 20;
    return new ChildJvm(
        List.of("-Xmx" + heapMb + "m", "-XX:+UseSerialGC",
            "-Dorg.slf4j.simpleLogger.defaultLogLevel=warn"),
        environment.tools(),
        List.of("lab", "hollow", "--nodes", "" + nodes, "--first", "" + first, "--of", "" + size,
            "--discovery", source.address(), "--start-over-seconds", "" + size / STARTS_PER_SECOND,
            "--report", report(number).toString()),
        environment.dir().resolve("fleet-" + number + ".log"));
  }

  private Path report(int number) {
    return environment.dir().resolve("fleet-" + number + ".jsonl");
  }

  private static void awaitLists(SourceProcess source, long size) throws Exception {
    long until = System.nanoTime() + START_MS * 1_000_000;
    while (source.sent().snapshots() < size) {
      if (System.nanoTime() > until) throw new IOException("not all have a list: " + source.sent());
      Thread.sleep(LOOK_MS);
    }
  }

  private Map<String, MetricValues> window(SourceProcess source, List<ChildJvm> processes,
      long size) throws Exception {
    List<ProcessMetrics.Cpu> before = new ArrayList<>();
    for (ChildJvm process : processes) before.add(ProcessMetrics.cpu(process.pid()));
    ResourceSnapshot from = ResourceSnapshot.of(source.pid(), source);
    source.rate(CHANGES_PER_SECOND);
    Thread.sleep(WINDOW_MS);
    source.rate(0);
    Thread.sleep(DRAIN_MS);
    ResourceSnapshot.ResourceUsage used = from.usageUntilNow();
    double nodesCpu = 0;
    double heap = 0;
    for (int i = 0; i < processes.size(); i++) {
      nodesCpu += ProcessMetrics.cpu(processes.get(i).pid()).msSince(before.get(i));
      heap += ProcessMetrics.heldHeapBytes(processes.get(i).pid());
    }
    double[] times = times(source.puts());
    return Map.of("fleet.change",
        MetricValues.of(Quantity.CPU_MS, used.cpuMs() / used.changes())
            .and(Quantity.BYTES_OUT, (double) used.bytes() / used.changes())
            .and(Quantity.MESSAGES_OUT, (double) size * used.changes())
            .and(Quantity.COUNT, times.length).and(Quantity.P50_MS, Percentiles.of(times, 0.5))
            .and(Quantity.P99_MS, Percentiles.of(times, 0.99))
            .and(Quantity.MAX_MS, Percentiles.of(times, 1)),
        "fleet.node",
        MetricValues.of(Quantity.CPU_MS, nodesCpu / used.seconds() / size)
            .and(Quantity.BYTES_IN, used.bytes() / used.seconds() / size)
            .and(Quantity.HEAP_BYTES, heap / size));
  }

  /** ms from each put to each node's application of it, ascending. */
  private double[] times(Map<Long, Long> puts) throws IOException {
    List<Double> times = new ArrayList<>();
    for (int i = 0; i < PROCESSES; i++) {
      String text = Files.readString(report(i));
      for (String line : text.substring(0, text.lastIndexOf('\n') + 1).split("\n", 0)) {
        JsonObject told = JsonParser.parseString(line).getAsJsonObject();
        if (!told.has("node") || !puts.containsKey(told.get("index").getAsLong())) continue;
        long putAt = puts.get(told.get("index").getAsLong());
        times.add((told.get("at_nanos").getAsLong() - putAt) / MILLION);
      }
    }
    return times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
  }
}
