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
 * Watchers that read nothing, come in a crowd, say nothing or too much: each costs itself, and
 * little of the relay.
 */
@Timeout(120)
class SlowWatcherTest extends RelayHarness {
  // entries: about 4.2 MB, more than the system takes for a socket
  private static final int LARGE = 34_000;
  // a watcher's, so that the system holds little for it
  private static final int SMALL_BUFFER = 16 * 1024;

  private TestWatcher stalled(Relay relay) throws IOException {
    return closeAfterTest(new TestWatcher(relay.port(), SMALL_BUFFER))
        .sendGet("/api/targets?follow=1&since=0");
  }

  private static long heap() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  /**
   * Thirty read nothing of a whole list while 200 changes go by, each known to have reached the one
   * that reads: they cost one buffer together. Then one reads on: the list it had begun, and in one
   * line the latest state of all that has changed.
   */
  @Test
  void readNothingAndGoOn() throws Exception {
    Relay relay = relay("'snapshot_bytes_per_second':10000000000", snapshotLine(1, entries(LARGE)));
    TestWatcher reads = watcher(relay, 0);
    assertEquals(LARGE, reads.list().getAsJsonArray("endpoints").size());
    long heapBefore = heap();
    long directBefore = PlatformDependent.usedDirectMemory();
    List<TestWatcher> stalled = new ArrayList<>();
    for (int i = 0; i < 30; i++) stalled.add(stalled(relay));
    await(relay, "watchers", 31);
    await(relay, "snapshots_sent", 31);
    for (int i = 2; i <= 201; i++) {
      upstream
          .sendChunk(changesLine(i, entry("s-" + i % 20, i % 2 == 0 ? "Terminating" : "Ready")));
      assertEquals(i, reads.listAt(i).get("index").getAsLong());
    }
    assertEquals(30, metric(relay, "behind"));
    assertTrue(metric(relay, "encoded_bytes") < 6 * MB, metricText(relay, "encoded_bytes"));
    long direct = PlatformDependent.usedDirectMemory() - directBefore;
    // copies of the list would be 120 MB
    assertTrue(direct < 20 * MB, direct + " bytes outside the heap");
    long grown = heap() - heapBefore;
    assertTrue(grown < 20 * MB, grown + " bytes of heap");
    advanceClock(relay, 29_000); // less than what ends a watcher that takes nothing
    JsonObject list = stalled.get(0).list();
    assertEquals(1, list.get("index").getAsLong());
    assertEquals(LARGE, list.getAsJsonArray("endpoints").size());
    JsonObject rest = stalled.get(0).list();
    assertEquals(201, rest.get("index").getAsLong());
    assertEquals(20, rest.getAsJsonArray("endpoints").size());
    assertEquals(1, metric(relay, "coalesced"));
    advanceClock(relay, 2_000);
    assertEquals(29, metric(relay, "stalled"));
    assertEquals(2, metric(relay, "watchers"));
    assertTrue(stalled.get(1).isClosedByRelay());
    await(relay, "connections", 2);
    upstream.answer(); // it was silent by that clock
    upstream.sendChunk(changesLine(202, entry("s-1", "Gone")));
    assertEquals(202, reads.listAt(202).get("index").getAsLong());
  }

  /**
   * It takes some every 20 s and so does not stand still, but a list is not held for it for more
   * than two minutes.
   */
  @Test
  void trickles() throws Exception {
    Relay relay = relay("", snapshotLine(1, entries(LARGE)));
    await(relay, "version", 1);
    TestWatcher slow = stalled(relay);
    await(relay, "snapshots_sent", 1);
    for (int i = 0; i < 6; i++) {
      assertEquals(0, metric(relay, "stalled"), "after " + i + " times 20 s");
      long before = metric(relay, "bytes_out");
      slow.socket.getInputStream().readNBytes(4 * EncodedMessage.PIECE_BYTES);
      while (metric(relay, "bytes_out") == before) Thread.onSpinWait();
      advanceClock(relay, 20_000);
    }
    assertEquals(1, metric(relay, "stalled"));
    assertTrue(slow.isClosedByRelay());
  }

  /**
   * The list that a watcher has begun to get is the one that it gets, whatever changes meanwhile.
   */
  @Test
  void changeWhileAListIsOnTheWay() throws Exception {
    Relay relay = relay("", snapshotLine(1, entries(LARGE)));
    await(relay, "version", 1);
    TestWatcher slow = stalled(relay);
    await(relay, "snapshots_sent", 1);
    upstream.sendChunk(changesLine(2, entry("s-" + (LARGE - 1), "Gone")));
    await(relay, "version", 2);
    JsonObject list = slow.list();
    assertEquals("1 " + LARGE,
        list.get("index").getAsLong() + " " + list.getAsJsonArray("endpoints").size());
    assertEquals(changesLine(2, entry("s-" + (LARGE - 1), "Gone")).trim(), slow.list().toString());
  }

  /**
   * Connections that break with a list on the way: what was written or was to be written of it is
   * given back.
   */
  @Test
  void leaveInTheMiddle() throws Exception {
    Relay relay = relay("'snapshot_bytes_per_second':10000000000", snapshotLine(1, entries(LARGE)));
    TestWatcher reads = watcher(relay, 0);
    // so that all of it is encoded
    assertEquals(LARGE, reads.list().getAsJsonArray("endpoints").size());
    for (int i = 0; i < 20; i++) {
      TestWatcher leaves = stalled(relay);
      await(relay, "snapshots_sent", i + 2);
      leaves.socket.setSoLinger(i % 2 == 0, 0);
      leaves.close();
    }
    await(relay, "watchers", 1);
    advanceClock(relay, 6_000); // from now on a new list is made for whoever comes
    upstream.answer(); // it was silent by that clock
    upstream.sendChunk(changesLine(2, entry("s-1", "Gone")));
    await(relay, "version", 2);
    assertEquals(LARGE - 1, watcher(relay, 0).listAt(2).getAsJsonArray("endpoints").size());
    long held = metric(relay, "encoded_bytes");
    assertTrue(held < 5 * MB, held + " bytes are held"); // the latest list, and no earlier one
  }

  @Test
  void threeHundredAtOnce() throws Exception {
    Relay relay = relay("'watchers':300,'snapshot_bytes_per_second':100000000",
        snapshotLine(1, entries(1_000)));
    List<TestWatcher> all = new ArrayList<>();
    for (int i = 0; i < 300; i++) all.add(watcher(relay, 0));
    for (TestWatcher one : all) assertEquals(1_000, one.list().getAsJsonArray("endpoints").size());
    assertEquals(300, metric(relay, "snapshots_sent"));
    TestWatcher tooMany = closeAfterTest(new TestWatcher(relay.port(), 0))
        .sendGet("/api/targets?follow=1&since=0");
    assertTrue(tooMany.answer().startsWith("HTTP/1.1 503 "));
    assertEquals(1, metric(relay, "refused"));
    long encodings = metric(relay, "encodings");
    upstream.sendChunk(changesLine(2, entry("s-1", "Gone")));
    for (TestWatcher one : all) assertEquals(2, one.list().get("index").getAsLong());
    assertTrue(metric(relay, "encodings") <= encodings + 2,
        "more than the change and a keep-alive were encoded");
    assertTrue(encodings <= 3, encodings + " encodings of one list");
  }

  /**
   * Those that say nothing take no descriptors but the spare ones, are closed in time, and keep no
   * watcher out.
   */
  @Test
  void sayNothing() throws Exception {
    Relay relay = relay("'watchers':20", snapshotLine(1, entry("s-1", "Ready")));
    int most = 20 + WatcherServer.SPARE_CONNECTIONS;
    List<TestWatcher> silent = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      silent.add(closeAfterTest(new TestWatcher(relay.port(), 0)));
      if (i % 2 == 0) silent.get(i).sendText("GET /api/targets?follow=1&since=0 HTTP/1.1\r\nHost");
    }
    assertEquals(1, watcher(relay, 0).listAt(1).get("index").getAsLong());
    assertEquals(most, metric(relay, "connections"));
    assertEquals(300 + 1 - most, metric(relay, "connections_refused"));
    clockOffsetMs.addAndGet(WatcherServer.IDLE_MS);
    for (TestWatcher one : silent) assertTrue(one.isClosedByRelay());
    await(relay, "connections", 1);
  }

  /** Requests without end, behind a watch or before their answers are read. */
  @Test
  void sayTooMuch() throws Exception {
    Relay relay = relay("", snapshotLine(1, entry("s-1", "Ready")));
    TestWatcher watches = watcher(relay, 0);
    assertEquals(1, watches.listAt(1).get("index").getAsLong());
    await(relay, "watchers", 1);
    try {
      // 36 bytes each
      for (int i = 0; i < InboundConnection.MAX_UNANSWERED_BYTES / 8; i++) watches.sendGet("/info");
    } catch (IOException e) {
      // the relay has ended it
    }
    await(relay, "watchers", 0);
    TestWatcher wide = closeAfterTest(new TestWatcher(relay.port(), 0));
    String answer = wide.sendText("GET /" + "x".repeat(2_000) + " HTTP/1.1\r\n\r\n").answer();
    assertTrue(answer.startsWith("HTTP/1.0 414 "), answer);
  }
}
