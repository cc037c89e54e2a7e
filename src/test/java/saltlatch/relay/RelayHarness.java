package saltlatch.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Runs relays on loopback sockets. The test's own thread acts as discovery and as every watcher,
 * one after the other, so that there are no races between them. A test can advance the relays'
 * clock.
 */
abstract class RelayHarness {
  static final int MB = 1 << 20;
  private static final long CLOCK_RUNS = -1;

  final AtomicLong clockOffsetMs = new AtomicLong(); // ms by which the relays' clock is ahead
  private volatile long stoppedAtMs = CLOCK_RUNS;
  final List<Relay> relays = new ArrayList<>();
  final List<AutoCloseable> closeables = new ArrayList<>();
  TestUpstream upstream;

  @BeforeEach
  void openUpstream() throws IOException {
    upstream = newUpstream();
  }

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable closeable : closeables) closeable.close();
    for (Relay relay : relays) stop(relay);
  }

  TestUpstream newUpstream() throws IOException {
    TestUpstream created = new TestUpstream();
    closeables.add(created);
    return created;
  }

  /** Starts a relay that follows {@link #upstream}, which answers with {@code firstLine}. */
  Relay relay(String limits, String firstLine) throws Exception {
    Relay relay = relay(limits, upstream);
    upstream.answer();
    upstream.sendChunk(firstLine);
    return relay;
  }

  Relay relay(String limits, TestUpstream... upstreams) throws Exception {
    String addresses = java.util.Arrays.stream(upstreams)
        .map(follows -> "'127.0.0.1:" + follows.port() + "'").collect(Collectors.joining(","));
    RelayConfig config = RelayConfig.parse(("{'listen':'127.0.0.1:0','upstreams':[" + addresses
        + "],'limits':{" + limits + "},'seed':1}").replace('\'', '"'));
    Relay relay = new Relay(config, this::clockMs);
    relays.add(relay);
    relay.start().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    return relay;
  }

  private long clockMs() {
    long atMs = stoppedAtMs;
    return (atMs == CLOCK_RUNS ? systemMs() : atMs) + clockOffsetMs.get();
  }

  private static long systemMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Stops the relays' clock, so that only {@link #advanceClock} moves it. Guards against a busy
   * machine on which the test's own work takes so long that the relay's timeouts expire meanwhile.
   */
  void stopClock() {
    stoppedAtMs = systemMs() + 1; // one more, so that the clock does not go back
  }

  static void stop(Relay relay) throws Exception {
    relay.stop().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /**
   * Advances the relay's clock and runs its timers. Reading a metric before and after waits for the
   * relay's loop, so that events that are already queued are handled with the old time.
   */
  void advanceClock(Relay relay, long ms) throws Exception {
    metric(relay, "version");
    clockOffsetMs.addAndGet(ms);
    relay.wake();
    metric(relay, "version");
  }

  TestWatcher watcher(Relay relay, long since) throws IOException {
    return closeAfterTest(TestWatcher.follow(relay.port(), since));
  }

  TestWatcher closeAfterTest(TestWatcher watcher) {
    closeables.add(watcher);
    return watcher;
  }

  static long metric(Relay relay, String name) throws Exception {
    return Long.parseLong(metricText(relay, name));
  }

  static String metricText(Relay relay, String name) throws Exception {
    String metrics = relay.info().toCompletionStage().toCompletableFuture().get(20,
        TimeUnit.SECONDS);
    return metrics.lines().filter(line -> line.startsWith(name + "=")).findFirst().orElseThrow()
        .substring(name.length() + 1);
  }

  /** Waits until a metric has the value; the test's time-out limits the wait. */
  static void awaitMetric(Relay relay, String name, long value) throws Exception {
    while (metric(relay, name) != value) Thread.onSpinWait();
  }
}
