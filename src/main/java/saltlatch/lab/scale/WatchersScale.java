package saltlatch.lab.scale;

import io.vertx.core.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.wire.transport.TcpConnector;

/**
 * Measures a simulated discovery server with {@value #ENTRIES} app servers by the number of
 * watchers, which discard what they read. {@code watchers.rest} holds CPU time and bytes a second
 * and RSS without changes. {@code watchers.change} holds CPU time and bytes of a change that is
 * sent to all watchers, in excess of {@code watchers.rest}, and the times from the change until a
 * watcher has read it. {@code watchers.whole} holds CPU time, bytes, seconds until the last byte is
 * read, and peak RSS if all watchers connect at once and request the complete list. CPU time, bytes
 * and RSS are those of the server process.
 */
final class WatchersScale implements ScaleTest {
  static final int ENTRIES = 34_000;
  private static final long OPEN_TIMEOUT_MS = 60_000; // until all watches are open, or closed
  private static final long SNAPSHOT_TIMEOUT_MS = 180_000; // until all lists are read
  private static final long POLL_INTERVAL_MS = 20;
  // so that the JIT compiler has compiled the source's code
  private static final double WARM_UP_CHANGES_PER_SECOND = 40;
  private static final long WARM_UP_MS = 5_000;
  private static final int WARM_UP_WATCHERS = 50; // read the complete list before the measurement
  private static final long WINDOW_MS = 6_000; // three intervals of empty lines
  private static final double CHANGES_PER_SECOND = 5;
  private static final long DRAIN_MS = 500; // until the watchers have read the last changes
  private static final double NANOS_PER_MS = 1e6;
  private static final double NANOS_PER_SECOND = 1e9;

  private final TestEnvironment environment;

  WatchersScale(TestEnvironment environment) {
    this.environment = environment;
  }

  @Override
  public String name() {
    return "watchers";
  }

  @Override
  public String grows() {
    return "watchers";
  }

  @Override
  public List<Long> sizes() {
    return List.of(100L, 300L, 900L, 2_700L);
  }

  @Override
  public ResourceRequirements requirements(long size) {
    return new ResourceRequirements(2 * TestEnvironment.SOURCE_BYTES, 1);
  }

  @Override
  public Map<String, MetricValues> measure(long size, int repeat) throws Exception {
    Map<String, MetricValues> measured = new LinkedHashMap<>();
    try (SourceProcess source = new SourceProcess(environment, ENTRIES);
        Watchers watchers = new Watchers()) {
      watchers.open(address(source), (int) size, source.sent().index());
      awaitOpen(source, size);
      warmUp(source);
      changes(source, watchers, measured);
    }
    try (SourceProcess source = new SourceProcess(environment, ENTRIES)) {
      try (Watchers warmUp = new Watchers()) {
        snapshots(source, warmUp, WARM_UP_WATCHERS);
      }
      awaitNone(source);
      try (Watchers watchers = new Watchers()) {
        measured.put("watchers.whole", snapshots(source, watchers, size));
      }
    }
    return measured;
  }

  private static SocketAddress address(SourceProcess source) {
    return TcpConnector.parseAddress(source.address());
  }

  private static void awaitOpen(SourceProcess source, long size) throws Exception {
    long startedAt = System.nanoTime();
    while (source.sent().watchers() < size) {
      if (System.nanoTime() - startedAt > OPEN_TIMEOUT_MS * NANOS_PER_MS)
        throw new IllegalStateException("expected " + size + " open watches within "
            + OPEN_TIMEOUT_MS + " ms, found " + source.sent());
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  private static void awaitNone(SourceProcess source) throws Exception {
    long startedAt = System.nanoTime();
    while (source.sent().watchers() > 0) {
      if (System.nanoTime() - startedAt > OPEN_TIMEOUT_MS * NANOS_PER_MS)
        throw new IllegalStateException(
            "expected all watches closed within " + OPEN_TIMEOUT_MS + " ms, found some open");
      Thread.sleep(POLL_INTERVAL_MS);
    }
  }

  private static void warmUp(SourceProcess source) throws Exception {
    source.rate(WARM_UP_CHANGES_PER_SECOND);
    Thread.sleep(WARM_UP_MS);
    source.rate(0);
    Thread.sleep(DRAIN_MS);
  }

  private static void changes(SourceProcess source, Watchers watchers,
      Map<String, MetricValues> measured) throws Exception {
    ResourceSnapshot.ResourceUsage rest = window(source, 0);
    ResourceSnapshot.ResourceUsage changes = window(source, CHANGES_PER_SECOND);
    if (watchers.failed() > 0) throw new IllegalStateException(
        "expected all watches open, found " + watchers.failed() + " failed or ended");
    measured.put("watchers.rest",
        MetricValues.of(Quantity.CPU_MS, rest.cpuMs() / rest.seconds())
            .and(Quantity.BYTES_OUT, rest.bytes() / rest.seconds())
            .and(Quantity.RSS_BYTES, (double) ProcessMetrics.rssBytes(source.pid())));
    double restCpuMs = rest.cpuMs() / rest.seconds() * changes.seconds();
    double[] times = times(source.puts(), watchers.reads());
    measured.put("watchers.change",
        MetricValues.of(Quantity.CPU_MS, (changes.cpuMs() - restCpuMs) / changes.changes())
            .and(Quantity.BYTES_OUT, (double) changes.bytes() / changes.changes())
            .and(Quantity.MESSAGES_OUT, (double) changes.messages() / changes.changes())
            .and(Quantity.P50_MS, Percentiles.of(times, 0.5))
            .and(Quantity.P99_MS, Percentiles.of(times, 0.99))
            .and(Quantity.MAX_MS, Percentiles.of(times, 1)));
  }

  private static ResourceSnapshot.ResourceUsage window(SourceProcess source,
      double changesPerSecond) throws Exception {
    source.rate(changesPerSecond);
    ResourceSnapshot atStart = ResourceSnapshot.of(source.pid(), source);
    Thread.sleep(WINDOW_MS);
    source.rate(0);
    Thread.sleep(DRAIN_MS);
    return atStart.usageUntilNow();
  }

  /** Returns the times in ms from each change until each watcher read it, sorted. */
  private static double[] times(Map<Long, Long> puts, List<Watchers.Read> reads) {
    return reads.stream().filter(read -> puts.containsKey(read.index()))
        .mapToDouble(read -> (read.atNanos() - puts.get(read.index())) / NANOS_PER_MS).sorted()
        .toArray();
  }

  private static MetricValues snapshots(SourceProcess source, Watchers watchers, long size)
      throws Exception {
    ProcessMetrics.Cpu cpuBefore = ProcessMetrics.cpu(source.pid());
    SourceProcess.Sent sentBefore = source.sent();
    long startedAt = System.nanoTime();
    watchers.open(address(source), (int) size, 0);
    SourceProcess.Sent sent = source.sent();
    while (sent.watchers() < size || sent.behind() > 0
        || watchers.bytes() < sent.bytesOut() - sentBefore.bytesOut()) {
      if (System.nanoTime() - startedAt > SNAPSHOT_TIMEOUT_MS * NANOS_PER_MS
          || watchers.failed() > 0)
        throw new IllegalStateException("expected " + size + " lists read within "
            + SNAPSHOT_TIMEOUT_MS + " ms and no watch ended, found " + sent + " and "
            + watchers.failed() + " failed or ended");
      Thread.sleep(POLL_INTERVAL_MS);
      sent = source.sent();
    }
    double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
    return MetricValues.of(Quantity.CPU_MS, ProcessMetrics.cpu(source.pid()).msSince(cpuBefore))
        .and(Quantity.BYTES_OUT, (double) (sent.bytesOut() - sentBefore.bytesOut()))
        .and(Quantity.MESSAGES_OUT, (double) (sent.snapshots() - sentBefore.snapshots()))
        .and(Quantity.SECONDS, seconds)
        .and(Quantity.RSS_BYTES, (double) ProcessMetrics.peakRssBytes(source.pid()));
  }
}
