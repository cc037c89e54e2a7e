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
 * Measures hollow nodes in {@value #PROCESSES} processes that watch one simulated discovery server
 * directly, without a relay. Its list has {@value #ENTRIES} app servers and changes twice a second.
 * {@code fleet.change} holds the times from a change at the source until a node has applied it,
 * over all nodes and changes. COUNT is the number of applied changes that were reported and
 * MESSAGES_OUT the number expected; CPU_MS and BYTES_OUT are the source's cost of one change.
 * {@code fleet.node} holds the CPU time a second and the heap of one hollow node during the
 * changes.
 */
final class FleetScale implements ScaleTest {
  // 2,700 nodes with 34,000 entries each exceed half of the memory of a 24 GB machine
  static final int ENTRIES = 1_000;
  static final int PROCESSES = 3; // at most one core each, since other runs share the machine
  // upper bound on the heap of one hollow node with such a list
  private static final long NODE_BYTES = 1L << 20;
  private static final long PROCESS_BYTES = 256L << 20; // of a JVM without its nodes
  // a simultaneous start would add its cost to that of the changes
  private static final double STARTS_PER_SECOND = 40;
  private static final long START_TIMEOUT_MS = 180_000;
  private static final long POLL_INTERVAL_MS = 500;
  private static final long SETTLE_MS = 5_000;
  private static final long WINDOW_MS = 20_000;
  private static final long DRAIN_MS = 2_000; // until the nodes have applied the last changes
  private static final double CHANGES_PER_SECOND = 2;
  private static final double NANOS_PER_MS = 1e6;

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
    Files.deleteIfExists(report(number)); // written at the previous size
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
    long deadline = System.nanoTime() + START_TIMEOUT_MS * 1_000_000;
    while (source.sent().snapshots() < size) {
      if (System.nanoTime() > deadline) throw new IOException("expected " + size
          + " lists sent within " + START_TIMEOUT_MS + " ms, found " + source.sent());
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  private Map<String, MetricValues> window(SourceProcess source, List<ChildJvm> processes,
      long size) throws Exception {
    List<ProcessMetrics.Cpu> cpuBefore = new ArrayList<>();
    for (ChildJvm process : processes) cpuBefore.add(ProcessMetrics.cpu(process.pid()));
    ResourceSnapshot atStart = ResourceSnapshot.of(source.pid(), source);
    source.rate(CHANGES_PER_SECOND);
    Thread.sleep(WINDOW_MS);
    source.rate(0);
    Thread.sleep(DRAIN_MS);
    ResourceSnapshot.ResourceUsage sourceUsage = atStart.usageUntilNow();
    double nodesCpuMs = 0;
    double heapBytes = 0;
    for (int i = 0; i < processes.size(); i++) {
      nodesCpuMs += ProcessMetrics.cpu(processes.get(i).pid()).msSince(cpuBefore.get(i));
      heapBytes += ProcessMetrics.heldHeapBytes(processes.get(i).pid());
    }
    double[] times = times(source.puts());
    return Map.of("fleet.change",
        MetricValues.of(Quantity.CPU_MS, sourceUsage.cpuMs() / sourceUsage.changes())
            .and(Quantity.BYTES_OUT, (double) sourceUsage.bytes() / sourceUsage.changes())
            .and(Quantity.MESSAGES_OUT, (double) size * sourceUsage.changes())
            .and(Quantity.COUNT, times.length).and(Quantity.P50_MS, Percentiles.of(times, 0.5))
            .and(Quantity.P99_MS, Percentiles.of(times, 0.99))
            .and(Quantity.MAX_MS, Percentiles.of(times, 1)),
        "fleet.node",
        MetricValues.of(Quantity.CPU_MS, nodesCpuMs / sourceUsage.seconds() / size)
            .and(Quantity.BYTES_IN, sourceUsage.bytes() / sourceUsage.seconds() / size)
            .and(Quantity.HEAP_BYTES, heapBytes / size));
  }

  /** Returns the times in ms from each change at the source until each node applied it, sorted. */
  private double[] times(Map<Long, Long> puts) throws IOException {
    List<Double> times = new ArrayList<>();
    for (int i = 0; i < PROCESSES; i++) {
      String text = Files.readString(report(i));
      for (String line : text.substring(0, text.lastIndexOf('\n') + 1).split("\n", 0)) {
        JsonObject entry = JsonParser.parseString(line).getAsJsonObject();
        if (!entry.has("node") || !puts.containsKey(entry.get("index").getAsLong())) continue;
        long putAtNanos = puts.get(entry.get("index").getAsLong());
        times.add((entry.get("at_nanos").getAsLong() - putAtNanos) / NANOS_PER_MS);
      }
    }
    return times.stream().mapToDouble(Double::doubleValue).sorted().toArray();
  }
}
