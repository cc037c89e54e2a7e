package saltlatch.lab.scale;

import io.vertx.core.net.SocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.lab.rig.ProcessMetrics;
import saltlatch.wire.transport.TcpConnector;

/**
 * Watchers of one discovery stand-in with {@value #ENTRIES} app servers: {@code watchers.rest} (the
 * source's CPU and bytes a second, its RSS), {@code watchers.change} (CPU and bytes for a change
 * that all are told, beyond rest; times from the put until a watcher has read it) and
 * {@code watchers.whole} (all connect at once and want the whole list: CPU, bytes, seconds until
 * the last byte is read, RSS at its highest). All values are the source's. The watchers read and
 * keep nothing.
 */
final class WatchersScale implements ScaleTest {
  static final int ENTRIES = 34_000;
  private static final long OPEN_MS = 60_000; // until all watches are open
  private static final long WHOLE_MS = 180_000; // until all lists are read
  private static final long LOOK_MS = 20;
  // so that the source's code is compiled
  private static final double WARM_UP_CHANGES_PER_SECOND = 40;
  private static final long WARM_UP_MS = 5_000;
  private static final int WARM_UP_WATCHERS = 50; // that read the whole list before it is measured
  private static final long WINDOW_MS = 6_000; // of rest, and of changes: three empty lines
  private static final double CHANGES_PER_SECOND = 5;
  private static final long DRAIN_MS = 500; // for what was put last
  private static final double MILLION = 1e6; // ns in a ms
  private static final double NANOS = 1e9; // in a second

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
        whole(source, warmUp, WARM_UP_WATCHERS);
      }
      awaitNone(source);
      try (Watchers watchers = new Watchers()) {
        measured.put("watchers.whole", whole(source, watchers, size));
      }
    }
    return measured;
  }

  private static SocketAddress address(SourceProcess source) {
    return TcpConnector.parseAddress(source.address());
  }

  private static void awaitOpen(SourceProcess source, long size) throws Exception {
    long from = System.nanoTime();
    while (source.sent().watchers() < size) {
      if (System.nanoTime() - from > OPEN_MS * MILLION)
        throw new IllegalStateException(source.sent() + " after " + OPEN_MS + " ms");
      Thread.sleep(LOOK_MS);
    }
  }

  private static void awaitNone(SourceProcess source) throws Exception {
    long from = System.nanoTime();
    while (source.sent().watchers() > 0) {
      if (System.nanoTime() - from > OPEN_MS * MILLION)
        throw new IllegalStateException("watches do not end");
      Thread.sleep(LOOK_MS);
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
    if (watchers.failed() > 0)
      throw new IllegalStateException(watchers.failed() + " watches have ended");
    measured.put("watchers.rest",
        MetricValues.of(Quantity.CPU_MS, rest.cpuMs() / rest.seconds())
            .and(Quantity.BYTES_OUT, rest.bytes() / rest.seconds())
            .and(Quantity.RSS_BYTES, (double) ProcessMetrics.rssBytes(source.pid())));
    double atRest = rest.cpuMs() / rest.seconds() * changes.seconds();
    double[] times = times(source.puts(), watchers.reads());
    measured.put("watchers.change",
        MetricValues.of(Quantity.CPU_MS, (changes.cpuMs() - atRest) / changes.changes())
            .and(Quantity.BYTES_OUT, (double) changes.bytes() / changes.changes())
            .and(Quantity.MESSAGES_OUT, (double) changes.messages() / changes.changes())
            .and(Quantity.P50_MS, Percentiles.of(times, 0.5))
            .and(Quantity.P99_MS, Percentiles.of(times, 0.99))
            .and(Quantity.MAX_MS, Percentiles.of(times, 1)));
  }

  private static ResourceSnapshot.ResourceUsage window(SourceProcess source,
      double changesPerSecond) throws Exception {
    source.rate(changesPerSecond);
    ResourceSnapshot from = ResourceSnapshot.of(source.pid(), source);
    Thread.sleep(WINDOW_MS);
    source.rate(0);
    Thread.sleep(DRAIN_MS);
    return from.usageUntilNow();
  }

  /** ms from each put to each read of it, ascending. */
  private static double[] times(Map<Long, Long> puts, List<Watchers.Read> reads) {
    return reads.stream().filter(read -> puts.containsKey(read.index()))
        .mapToDouble(read -> (read.atNanos() - puts.get(read.index())) / MILLION).sorted()
        .toArray();
  }

  private static MetricValues whole(SourceProcess source, Watchers watchers, long size)
      throws Exception {
    ProcessMetrics.Cpu before = ProcessMetrics.cpu(source.pid());
    SourceProcess.Sent already = source.sent();
    long from = System.nanoTime();
    watchers.open(address(source), (int) size, 0);
    SourceProcess.Sent sent = source.sent();
    while (sent.watchers() < size || sent.behind() > 0
        || watchers.bytes() < sent.bytesOut() - already.bytesOut()) {
      if (System.nanoTime() - from > WHOLE_MS * MILLION || watchers.failed() > 0)
        throw new IllegalStateException(sent + ", " + watchers.failed() + " watches ended");
      Thread.sleep(LOOK_MS);
      sent = source.sent();
    }
    double seconds = (System.nanoTime() - from) / NANOS;
    return MetricValues.of(Quantity.CPU_MS, ProcessMetrics.cpu(source.pid()).msSince(before))
        .and(Quantity.BYTES_OUT, (double) (sent.bytesOut() - already.bytesOut()))
        .and(Quantity.MESSAGES_OUT, (double) (sent.snapshots() - already.snapshots()))
        .and(Quantity.SECONDS, seconds)
        .and(Quantity.RSS_BYTES, (double) ProcessMetrics.peakRssBytes(source.pid()));
  }
}
