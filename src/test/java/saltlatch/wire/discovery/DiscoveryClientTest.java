package saltlatch.wire.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.state.NodeMetrics;
import saltlatch.state.TimerQueue;
import saltlatch.wire.transport.Scheduler;

/** Checks the watch's requests and their times on real connections, with the test's clock. */
@Timeout(60)
class DiscoveryClientTest {
  private static final String READY_ENTRY = "{\"name\":\"s-1\",\"address\":\"127.0.0.1:9\",\"status\":\"Ready\"}";

  /** A clock and timers advanced by the test. Records each timer as an event with its delay. */
  private final class ManualScheduler implements Scheduler {
    private final TimerQueue timers = new TimerQueue();
    private long now = 1_000_000;

    @Override
    public long now() {
      return now;
    }

    @Override
    public TimerQueue.Timer scheduleAt(long dueTicks, Runnable action) {
      events.add("at " + (dueTicks - now));
      return timers.add(dueTicks, action);
    }

    @Override
    public void afterCurrentIteration(Runnable action) {
      action.run();
    }
  }

  /** Opens the next watch at once; reports a list as applied at once or when the test says so. */
  private final class RecordingListener implements DiscoveryClient.Listener {
    @Override
    public void endpointsReceived(EndpointList list, Runnable applied) {
      events.add("listed " + list.series() + "/" + list.index());
      scheduler.now += listTicks;
      if (appliesImmediately) applied.run();
      else pendingApplications.add(applied);
    }

    @Override
    public void watchEnded() {
      events.add("ended");
      discovery.openWatch();
    }
  }

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<Runnable> pendingApplications = new LinkedBlockingQueue<>();
  private final List<Socket> sockets = new ArrayList<>();
  private final ManualScheduler scheduler = new ManualScheduler();
  private final NodeMetrics metrics = new NodeMetrics();
  private volatile boolean appliesImmediately = true;
  private volatile long listTicks; // that the listener takes for a list
  private Vertx vertx;
  private Context loop;
  private ServerSocket agent;
  private Socket watch;
  private DiscoveryClient discovery;

  @BeforeEach
  void start() throws Exception {
    vertx = Vertx.vertx();
    loop = vertx.getOrCreateContext();
    agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    agent.setSoTimeout(20_000);
    discovery = new DiscoveryClient(vertx,
        SocketAddress.inetSocketAddress(agent.getLocalPort(), "127.0.0.1"), scheduler,
        new RecordingListener(), metrics, new EndpointList(0, 1, true, List.of()));
    runOnLoop(discovery::openWatch);
    assertEvents("at 0");
  }

  @AfterEach
  void stop() throws Exception {
    for (Socket socket : sockets) socket.close();
    agent.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void runOnLoop(Runnable task) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(v -> {
      task.run();
      done.complete(null);
    });
    done.get(10, TimeUnit.SECONDS);
  }

  private void advance(long ticks) throws Exception {
    runOnLoop(() -> {
      scheduler.now += ticks;
      scheduler.timers.runDue(scheduler.now);
    });
  }

  private void assertEvents(String... expected) throws InterruptedException {
    for (String event : expected) assertEquals(event, events.poll(20, TimeUnit.SECONDS));
  }

  /** Accepts the watch that is due after {@code ticks}, and answers with the start of a body. */
  private void acceptWatch(long ticks, String expectedQuery, String bodyStart) throws Exception {
    advance(ticks);
    watch = agent.accept();
    sockets.add(watch);
    String line = new BufferedReader(
        new InputStreamReader(watch.getInputStream(), StandardCharsets.ISO_8859_1)).readLine();
    assertEquals("GET /api/targets?follow=1&" + expectedQuery + " HTTP/1.1", line);
    assertEvents("at 20000");
    write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!bodyStart.isEmpty()) writeChunk(bodyStart);
  }

  private void writeChunk(String chunk) throws IOException {
    write(Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n");
  }

  private void write(String text) throws IOException {
    watch.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String list(long series, int index, boolean snapshot) {
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot
        + (series > 0 ? ",\"series\":" + series : "") + ",\"endpoints\":[" + READY_ENTRY + "]}\n";
  }

  private static String oversizedEntry() {
    return "{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":\""
        + "x".repeat(EndpointListParser.MAX_PART_BYTES);
  }

  /** Guards against an agent that sends short lists at full speed, each of which costs time. */
  @Test
  void readingPausesAfterAMillisecondOfWork() throws Exception {
    listTicks = 10;
    acceptWatch(0, "since=1", list(0, 2, true));
    assertEvents("listed 0/2", "at 45000", "at 10");
    advance(10);
    writeChunk(list(0, 3, false));
    assertEvents("listed 0/3", "at 45000", "at 10");
  }

  /**
   * Lists that are too large are requested at intervals that grow up to 5 min. A list that can be
   * accepted ends the backoff, as does the address of another agent.
   */
  @Test
  void oversizedListsAreRequestedAtGrowingIntervals() throws Exception {
    long due = 0;
    for (long interval : new long[] {10_000, 20_000, 40_000, 80_000, 160_000, 320_000, 640_000,
        1_280_000, 2_560_000, 3_000_000, 3_000_000}) {
      acceptWatch(due, "since=1", oversizedEntry());
      assertEvents("ended", "at " + interval);
      due = interval;
    }
    assertTrue(metrics.infoText().contains("lists_refused=11\n"));
    acceptWatch(due, "since=1", list(0, 2, true));
    assertEvents("listed 0/2", "at 45000");
    writeChunk(oversizedEntry());
    assertEvents("ended", "at 10000");
    runOnLoop(() -> discovery
        .changeAddress(SocketAddress.inetSocketAddress(agent.getLocalPort(), "localhost")));
    assertEvents("at 0");
  }

  /**
   * Guards against a backoff after a malformed list, which would delay changes: the next watch is
   * opened 1 s after the last one was.
   */
  @Test
  void malformedListsAreRequestedWithoutBackoff() throws Exception {
    long due = 0;
    for (int i = 0; i < 4; i++) {
      acceptWatch(due, "since=1",
          i % 2 == 0 ? "{\"index\":2,\"endpoints\":[5]}\n" : "x".repeat(9_000));
      assertEvents("ended", "at 10000");
      due = 10_000;
    }
    assertTrue(metrics.infoText().contains("lists_malformed=4\nlists_old=0\nlists_refused=0\n"));
  }

  /**
   * A long line that arrives slowly is read to its end. A line with an entry that never ends is
   * given up after the silence timeout.
   */
  @Test
  void completeEntriesKeepASlowLineAlive() throws Exception {
    acceptWatch(0, "since=1", "{\"index\":2,\"snapshot\":true,\"endpoints\":[");
    advance(15_000);
    for (int i = 0; i < 5; i++) {
      writeChunk((i == 0 ? "" : ",") + READY_ENTRY);
      assertEvents("at 45000");
      advance(44_999);
    }
    writeChunk("]}\n");
    assertEvents("listed 0/2", "at 45000");
    writeChunk("{\"index\":3,\"snapshot\":true,\"endpoints\":[" + READY_ENTRY);
    assertEvents("at 45000");
    advance(44_999);
    writeChunk(",{\"name\":\"s-2");
    advance(1);
    assertEvents("ended", "at 0");
  }

  /**
   * Guards against receiving a list again: no watch is opened while a list is being applied, and
   * the next one resumes after that list.
   */
  @Test
  void nextWatchWaitsUntilListsAreApplied() throws Exception {
    appliesImmediately = false;
    acceptWatch(0, "since=1", list(0, 2, true));
    assertEvents("listed 0/2", "at 45000");
    writeChunk(list(0, 3, false));
    assertEvents("listed 0/3", "at 45000");
    watch.close();
    assertEvents("ended", "at 10000");
    advance(10_000);
    runOnLoop(pendingApplications.take());
    assertTrue(metrics.infoText().contains("watches=1\n"));
    runOnLoop(pendingApplications.take());
    acceptWatch(0, "since=3", list(0, 4, false));
    assertEvents("listed 0/4", "at 45000");
  }

  /**
   * A new series is accepted from its snapshot on; events of an older series that arrive later are
   * ignored.
   */
  @Test
  void newSeriesIsAcceptedFromItsSnapshot() throws Exception {
    acceptWatch(0, "since=1", list(0, 40, true) + list(100, 41, false));
    assertEvents("listed 0/40", "ended", "at 10000");
    acceptWatch(10_000, "since=0", list(100, 5, true) + list(0, 50, true) + list(99, 60, true)
        + list(100, 4, true) + list(100, 6, false));
    assertEvents("listed 100/5", "listed 100/6", "at 45000");
    watch.close();
    assertEvents("ended", "at 10000");
    acceptWatch(10_000, "since=6&series=100", list(200, 1, false));
    assertEvents("ended", "at 10000");
    acceptWatch(10_000, "since=0&series=100", list(200, 1, true));
    assertEvents("listed 200/1", "at 45000");
    assertTrue(metrics.infoText().contains("lists_old=3\n"));
  }
}
