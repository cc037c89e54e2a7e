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
 * Relays on loopback sockets. The test's own thread is discovery and the watchers, each in its
 * turn, so that nothing races; the relays' clock can be put on.
 */
abstract class RelayHarness {
  static final int MB = 1 << 20;

  final AtomicLong clockOffsetMs = new AtomicLong(); // ms by which the relays' clock is ahead
  final List<Relay> relays = new ArrayList<>();
  final List<AutoCloseable> closeables = new ArrayList<>();
  TestUpstream upstream;

  @BeforeEach
  void listen() throws IOException {
    upstream = upstream();
  }

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable one : closeables) one.close();
    for (Relay relay : relays) stop(relay);
  }

  TestUpstream upstream() throws IOException {
    TestUpstream made = new TestUpstream();
    closeables.add(made);
    return made;
  }

  /** A relay of the one upstream that has answered with this. */
  Relay relay(String limits, String firstLine) throws Exception {
    Relay relay = relay(limits, upstream);
    upstream.answer();
    upstream.sendChunk(firstLine);
    return relay;
  }

  Relay relay(String limits, TestUpstream... upstreams) throws Exception {
    String addresses = java.util.Arrays.stream(upstreams).map(u -> "'127.0.0.1:" + u.port() + "'")
        .collect(Collectors.joining(","));
    RelayConfig config = RelayConfig.parse(("{'listen':'127.0.0.1:0','upstreams':[" + addresses
        + "],'limits':{" + limits + "},'seed':1}").replace('\'', '"'));
    Relay relay = new Relay(config,
        () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + clockOffsetMs.get());
    relays.add(relay);
    relay.start().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    return relay;
  }

  static void stop(Relay relay) throws Exception {
    relay.stop().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  /**
   * Puts the relay's clock on, once all that it has begun is told by the old one, and has it look.
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
    String all = relay.info().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    return all.lines().filter(line -> line.startsWith(name + "=")).findFirst().orElseThrow()
        .substring(name.length() + 1);
  }

  /** Waits for a figure that another thread brings about; the test's time-out ends the wait. */
  static void await(Relay relay, String name, long value) throws Exception {
    while (metric(relay, name) != value) Thread.onSpinWait();
  }
}
