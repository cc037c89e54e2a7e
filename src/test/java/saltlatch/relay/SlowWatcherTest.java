package saltlatch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltlatch.relay.TestUpstream.changesLine;
import static saltlatch.relay.TestUpstream.entries;
import static saltlatch.relay.TestUpstream.entry;
import static saltlatch.relay.TestUpstream.snapshotLine;

import com.google.gson.JsonObject;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Checks that watchers that read slowly or not at all, connect in large numbers, send nothing or
 * send too much cannot use up the relay's memory or connections, nor delay other watchers.
 */
@Timeout(120)
class SlowWatcherTest extends RelayHarness {
  // entries of about 4.2 MB in all, more than the system buffers for a socket
  private static final int LARGE_LIST = 34_000;
  // receive buffer of a watcher, so that the system buffers little for it
  private static final int SMALL_BUFFER_BYTES = 16 * 1024;

  private TestWatcher stalledWatcher(Relay relay) throws IOException {
    return closeAfterTest(new TestWatcher(relay.port(), SMALL_BUFFER_BYTES))
        .sendGet("/api/targets?follow=1&since=0");
  }

  private static long usedHeapBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * Thirty watchers read nothing of a snapshot while 200 changes arrive, each of which a reading
   * watcher receives. A buffer per stalled watcher would take 120 MB; they must share one. Then one
   * of them resumes and receives the snapshot that it had begun, and in one line the latest state
   * of every entry that has changed since.
   */
  @Test
  void stalledWatchersShareOneBufferAndCanResume() throws Exception {
    stopClock();
    Relay relay = relay("'snapshot_bytes_per_second':10000000000",
        snapshotLine(1, entries(LARGE_LIST)));
    TestWatcher reader = watcher(relay, 0);
    assertEquals(LARGE_LIST, reader.list().getAsJsonArray("endpoints").size());
    long heapBefore = usedHeapBytes();
    long directBefore = PlatformDependent.usedDirectMemory();
    List<TestWatcher> stalled = new ArrayList<>();
    for (int i = 0; i < 30; i++) stalled.add(stalledWatcher(relay));
    awaitMetric(relay, "watchers", 31);
    awaitMetric(relay, "snapshots_sent", 31);
    for (int i = 2; i <= 201; i++) {
      upstream
          .sendChunk(changesLine(i, entry("s-" + i % 20, i % 2 == 0 ? "Terminating" : "Ready")));
      assertEquals(i, reader.listAt(i).get("index").getAsLong());
    }
    assertEquals(30, metric(relay, "behind"));
    assertTrue(metric(relay, "encoded_bytes") < 6 * MB, metricText(relay, "encoded_bytes"));
    long directGrowth = PlatformDependent.usedDirectMemory() - directBefore;
    assertTrue(directGrowth < 20 * MB, directGrowth + " bytes outside the heap");
    long heapGrowth = usedHeapBytes() - heapBefore;
    assertTrue(heapGrowth < 20 * MB, heapGrowth + " bytes of heap");
    advanceClock(relay, 29_000); // less than the time after which a stalled watcher is closed
    JsonObject list = stalled.get(0).list();
    assertEquals(1, list.get("index").getAsLong());
    assertEquals(LARGE_LIST, list.getAsJsonArray("endpoints").size());
    JsonObject changes = stalled.get(0).list();
    assertEquals(201, changes.get("index").getAsLong());
    assertEquals(20, changes.getAsJsonArray("endpoints").size());
    assertEquals(1, metric(relay, "coalesced"));
    advanceClock(relay, 2_000);
    assertEquals(29, metric(relay, "stalled"));
    assertEquals(2, metric(relay, "watchers"));
    assertTrue(stalled.get(1).isClosedByRelay());
    awaitMetric(relay, "connections", 2);
    upstream.answer(); // the relay reconnects: by its clock the upstream was silent
    upstream.sendChunk(changesLine(202, entry("s-1", "Gone")));
    assertEquals(202, reader.listAt(202).get("index").getAsLong());
  }

  /**
   * A watcher that reads a little every 20 s makes progress and so is not closed as stalled at
   * first, but it must not hold a snapshot in memory for more than two minutes.
   */
  @Test
  void closesAWatcherThatReadsASnapshotTooSlowly() throws Exception {
    Relay relay = relay("", snapshotLine(1, entries(LARGE_LIST)));
    awaitMetric(relay, "version", 1);
    TestWatcher slow = stalledWatcher(relay);
    awaitMetric(relay, "snapshots_sent", 1);
    for (int i = 0; i < 6; i++) {
      assertEquals(0, metric(relay, "stalled"), "after " + i + " times 20 s");
      long bytesBefore = metric(relay, "bytes_out");
      slow.socket.getInputStream().readNBytes(4 * EncodedMessage.PIECE_BYTES);
      while (metric(relay, "bytes_out") == bytesBefore) Thread.onSpinWait();
      advanceClock(relay, 20_000);
    }
    assertEquals(1, metric(relay, "stalled"));
    assertTrue(slow.isClosedByRelay());
  }

  /**
   * A watcher that is being sent a snapshot receives all of it as it was at the start, and a change
   * that arrives meanwhile follows in a line of its own.
   */
  @Test
  void changeDuringASnapshotIsSentAfterIt() throws Exception {
    Relay relay = relay("", snapshotLine(1, entries(LARGE_LIST)));
    awaitMetric(relay, "version", 1);
    TestWatcher slow = stalledWatcher(relay);
    awaitMetric(relay, "snapshots_sent", 1);
    upstream.sendChunk(changesLine(2, entry("s-" + (LARGE_LIST - 1), "Gone")));
    awaitMetric(relay, "version", 2);
    JsonObject list = slow.list();
    assertEquals("1 " + LARGE_LIST,
        list.get("index").getAsLong() + " " + list.getAsJsonArray("endpoints").size());
    assertEquals(changesLine(2, entry("s-" + (LARGE_LIST - 1), "Gone")).trim(),
        slow.list().toString());
  }

  /**
   * Guards against a leak of encoded messages when connections are closed or reset while a snapshot
   * is being sent on them.
   */
  @Test
  void releasesASnapshotWhoseConnectionBreaks() throws Exception {
    stopClock();
    Relay relay = relay("'snapshot_bytes_per_second':10000000000",
        snapshotLine(1, entries(LARGE_LIST)));
    TestWatcher reader = watcher(relay, 0);
    // the reading watcher makes the relay encode the complete list
    assertEquals(LARGE_LIST, reader.list().getAsJsonArray("endpoints").size());
    for (int i = 0; i < 20; i++) {
      TestWatcher leaving = stalledWatcher(relay);
      awaitMetric(relay, "snapshots_sent", i + 2);
      leaving.socket.setSoLinger(i % 2 == 0, 0);
      leaving.close();
    }
    awaitMetric(relay, "watchers", 1);
    advanceClock(relay, 6_000); // after this time a new watcher gets a new snapshot
    advanceClock(relay, 2_000); // more than the delay after which the relay reconnects
    upstream.answer(); // the relay reconnects: by its clock the upstream was silent
    upstream.sendChunk(changesLine(2, entry("s-1", "Gone")));
    awaitMetric(relay, "version", 2);
    assertEquals(LARGE_LIST - 1, watcher(relay, 0).listAt(2).getAsJsonArray("endpoints").size());
    long held = metric(relay, "encoded_bytes");
    // the latest snapshot and no earlier one
    assertTrue(held < 5 * MB, held + " bytes are held");
  }

  @Test
  void threeHundredWatchersShareOneEncoding() throws Exception {
    Relay relay = relay("'watchers':300,'snapshot_bytes_per_second':100000000",
        snapshotLine(1, entries(1_000)));
    List<TestWatcher> watchers = new ArrayList<>();
    for (int i = 0; i < 300; i++) watchers.add(watcher(relay, 0));
    for (TestWatcher watcher : watchers) {
      assertEquals(1_000, watcher.list().getAsJsonArray("endpoints").size());
      upstream.sendChunk("\n"); // a keep-alive, as discovery sends them
    }
    assertEquals(300, metric(relay, "snapshots_sent"));
    TestWatcher beyondLimit = closeAfterTest(new TestWatcher(relay.port(), 0))
        .sendGet("/api/targets?follow=1&since=0");
    assertTrue(beyondLimit.answer().startsWith("HTTP/1.1 503 "));
    assertEquals(1, metric(relay, "refused"));
    long encodings = metric(relay, "encodings");
    upstream.sendChunk(changesLine(2, entry("s-1", "Gone")));
    for (TestWatcher watcher : watchers) assertEquals(2, watcher.list().get("index").getAsLong());
    assertTrue(metric(relay, "encodings") <= encodings + 2,
        "more than the change and a keep-alive were encoded");
    assertTrue(encodings <= 3, encodings + " encodings of one list");
  }

  /**
   * Silent connections could use up the file descriptors and keep watchers from connecting. Beyond
   * the limit on connections a new one replaces the one that has been silent longest, and silent
   * connections are closed after the idle time.
   */
  @Test
  void silentConnectionsAreLimitedAndClosed() throws Exception {
    Relay relay = relay("'watchers':20", snapshotLine(1, entry("s-1", "Ready")));
    int maxConnections = 20 + WatcherServer.SPARE_CONNECTIONS;
    List<TestWatcher> silent = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      silent.add(closeAfterTest(new TestWatcher(relay.port(), 0)));
      if (i % 2 == 0) silent.get(i).sendText("GET /api/targets?follow=1&since=0 HTTP/1.1\r\nHost");
    }
    assertEquals(1, watcher(relay, 0).listAt(1).get("index").getAsLong());
    assertEquals(maxConnections, metric(relay, "connections"));
    assertEquals(300 + 1 - maxConnections, metric(relay, "connections_refused"));
    clockOffsetMs.addAndGet(WatcherServer.IDLE_MS);
    for (TestWatcher connection : silent) assertTrue(connection.isClosedByRelay());
    awaitMetric(relay, "connections", 1);
  }

  /**
   * A client that keeps sending requests after it opened a watch must not make the relay buffer
   * them, and a request line beyond the limit is refused with status 414.
   */
  @Test
  void closesClientsThatSendTooMuch() throws Exception {
    Relay relay = relay("", snapshotLine(1, entry("s-1", "Ready")));
    TestWatcher flooding = watcher(relay, 0);
    assertEquals(1, flooding.listAt(1).get("index").getAsLong());
    awaitMetric(relay, "watchers", 1);
    try {
      // 36 bytes each, so more than four times the limit
      for (int i = 0; i < InboundConnection.MAX_UNANSWERED_BYTES / 8; i++)
        flooding.sendGet("/info");
    } catch (IOException e) {
      // the relay has closed the connection
    }
    awaitMetric(relay, "watchers", 0);
    TestWatcher longPath = closeAfterTest(new TestWatcher(relay.port(), 0));
    String answer = longPath.sendText("GET /" + "x".repeat(2_000) + " HTTP/1.1\r\n\r\n").answer();
    assertTrue(answer.startsWith("HTTP/1.0 414 "), answer);
  }
}
