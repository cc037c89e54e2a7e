package saltlatch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saltlatch.relay.TestUpstream.changesLine;
import static saltlatch.relay.TestUpstream.entries;
import static saltlatch.relay.TestUpstream.entry;
import static saltlatch.relay.TestUpstream.snapshotLine;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests on real connections which messages a relay forwards to its watchers, and that it continues
 * to serve them if an upstream fails, sends malformed lines or returns to an older version.
 */
@Timeout(60)
class RelayTest extends RelayHarness {
  private static final String UNUSUAL_ENTRY = "{\"name\":\"s-\\\"1\",\"later\":{\"k\":[1.50]},\"status\":\"Ready\"}";

  @Test
  void forwardsEntriesUnchanged() throws Exception {
    Relay relay = relay("", upstream);
    TestWatcher early = watcher(relay, 0);
    // the relay accepts a watch before it has a list, and sends an empty line as keep-alive
    assertEquals("", early.line());
    assertEquals("/api/targets?follow=1&since=0", upstream.answer());
    upstream.sendChunk(snapshotLine(41, UNUSUAL_ENTRY, entry("s-2", "Ready")));
    assertEquals(snapshotLine(41, UNUSUAL_ENTRY, entry("s-2", "Ready")).trim(),
        early.list().toString());
    upstream.sendChunk(changesLine(42, entry("s-2", "Gone")));
    assertEquals(changesLine(42, entry("s-2", "Gone")).trim(), early.list().toString());
    assertEquals(42, watcher(relay, 0).listAt(42).get("index").getAsLong());
    assertEquals(changesLine(42, entry("s-2", "Gone")).trim(),
        watcher(relay, 41).list().toString());
    // an entry missing from a new snapshot is sent to watchers with all its fields, status Gone
    upstream.sendChunk(snapshotLine(50, entry("s-3", "Ready")));
    assertEquals("[" + UNUSUAL_ENTRY.replace("Ready", "Gone") + "," + entry("s-3", "Ready") + "]",
        early.list().get("endpoints").toString());
  }

  /**
   * A relay can be the upstream of another relay. It therefore sends the series of the list's
   * index both in its requests to upstreams and in its lines to watchers.
   */
  @Test
  void seriesIsSentWithTheIndexInBothDirections() throws Exception {
    Relay relay = relay("", snapshotLine(5, entry("s-1", "Ready")).replace("\"snapshot\"",
        "\"series\":77,\"snapshot\""));
    TestWatcher watcher = closeAfterTest(
        new TestWatcher(relay.port(), 0).sendGet("/api/targets?follow=1&since=5&series=77"));
    awaitMetric(relay, "version", 5);
    upstream.sendChunk(
        changesLine(6, entry("s-1", "Gone")).replace("\"snapshot\"", "\"series\":77,\"snapshot\""));
    assertEquals("{\"index\":6,\"series\":77,\"snapshot\":false",
        watcher.list().toString().split(",\"endpoints", 0)[0]);
    upstream.reset();
    assertEquals("/api/targets?follow=1&since=6&series=77", upstream.answer());
  }

  @Test
  void answersRequestsOtherThanWatches() throws Exception {
    Relay relay = relay("", upstream);
    TestWatcher client = closeAfterTest(new TestWatcher(relay.port(), 0));
    assertTrue(client.sendGet("/api/targets").answer()
        .startsWith("HTTP/1.1 503 Service Unavailable\nretry-after: 1\n"));
    assertTrue(client.sendGet("/").answer().startsWith("HTTP/1.1 404 "));
    assertTrue(
        client.sendGet("/api/targets?follow=1&since=x").answer().startsWith("HTTP/1.1 400 "));
    assertTrue(client.sendGet("/info").answer()
        .contains("\nupstream=127.0.0.1:" + upstream.port() + "\nstale_ms="));
    upstream.answer();
    upstream.sendChunk(snapshotLine(41, UNUSUAL_ENTRY));
    awaitMetric(relay, "version", 41);
    assertEquals(snapshotLine(41, UNUSUAL_ENTRY).trim(), client.sendGet("/api/targets").line());
    assertNull(client.line());
    TestWatcher poster = closeAfterTest(new TestWatcher(relay.port(), 0));
    assertTrue(poster.sendText("POST /api/targets HTTP/1.1\r\nContent-Length: 9\r\n\r\n").answer()
        .startsWith("HTTP/1.1 405 "));
    assertEquals(0, metric(relay, "watchers"));
  }

  /**
   * If the snapshot budget (bytes per second) is exhausted, a request without {@code follow} is
   * refused with status 503, and a watch receives its snapshot later.
   */
  @Test
  void snapshotsAreLimitedToTheBudget() throws Exception {
    Relay relay = relay("'snapshot_bytes_per_second':1000", snapshotLine(1, entries(100)));
    TestWatcher first = watcher(relay, 0);
    assertEquals(100, first.list().getAsJsonArray("endpoints").size());
    assertTrue(closeAfterTest(new TestWatcher(relay.port(), 0)).sendGet("/api/targets").answer()
        .contains("503 Service Unavailable\nretry-after: 1\n"));
    TestWatcher second = watcher(relay, 0);
    assertEquals("", second.line());
    advanceClock(relay, 20_000);
    assertEquals(100, second.list().getAsJsonArray("endpoints").size());
  }

  /**
   * The upstream sends nothing for 60 s, resets its connection and then sends an older list. The
   * relay must neither forward the older list to its watcher nor close the watcher's connection.
   */
  @Test
  void watcherIsUnaffectedByAFailingUpstream() throws Exception {
    Relay relay = relay("", snapshotLine(5, entry("s-1", "Ready")));
    TestWatcher watcher = watcher(relay, 0);
    assertEquals(5, watcher.listAt(5).get("index").getAsLong());
    advanceClock(relay, 60_000);
    assertTrue(upstream.isClosedByRelay());
    assertTrue(metric(relay, "stale_ms") >= 60_000, metricText(relay, "stale_ms"));
    assertEquals(1, metric(relay, "watchers"));
    assertEquals("/api/targets?follow=1&since=5", upstream.accept());
    upstream.reset();
    assertEquals("/api/targets?follow=1&since=5", upstream.answer());
    upstream.sendChunk(snapshotLine(3, entry("s-1", "Terminating")))
        .sendChunk(changesLine(4, entry("s-1", "Gone")));
    awaitMetric(relay, "older_passed_over", 2);
    upstream.reset();
    assertEquals("/api/targets?follow=1&since=5", upstream.answer());
    assertEquals(3, metric(relay, "upstream_failures"));
    upstream.sendChunk(changesLine(6, entry("s-2", "Ready")));
    assertEquals(changesLine(6, entry("s-2", "Ready")).trim(), watcher.list().toString());
  }

  /**
   * If the first upstream responds with an error status, the relay follows the second upstream. If
   * the second upstream also fails, the relay follows the first one again.
   */
  @Test
  void followsAnotherUpstreamAfterAFailure() throws Exception {
    TestUpstream second = newUpstream();
    Relay relay = relay("", upstream, second);
    upstream.accept();
    // the relay must ignore a list in a response with a status other than 200
    String list = snapshotLine(9, entry("s-9", "Ready"));
    upstream.write(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    second.answer();
    second.sendChunk(snapshotLine(7, entry("s-1", "Ready")));
    awaitMetric(relay, "version", 7);
    assertEquals("127.0.0.1:" + second.port(), metricText(relay, "upstream"));
    second.reset();
    assertEquals("/api/targets?follow=1&since=7", upstream.answer());
  }

  /**
   * If an upstream sends a malformed line, or a line longer than the limit, the relay closes its
   * watch at this upstream and follows the other one. In the parameter, {@code ENDLESS} means that
   * the line is continued until the relay closes the watch, and {@code ENTRIES} is a snapshot with
   * one entry more than the limit of 500.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"all is well\n", "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":7}]}\n",
          "ENDLESS {\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"", "ENDLESS {",
          "ENDLESS {\"index\":1,\"snapshot\":true,\"x\":[[", "ENTRIES"})
  void leavesAnUpstreamThatSendsMalformedLines(String sent) throws Exception {
    TestUpstream second = newUpstream();
    Relay relay = relay("'entries':500", upstream, second);
    upstream.answer();
    upstream.sendChunk(
        sent.equals("ENTRIES") ? snapshotLine(9, entries(501)) : sent.replace("ENDLESS ", ""));
    if (sent.startsWith("ENDLESS")) repeatUntilClosed(sent.endsWith("[") ? "[" : " ");
    second.answer();
    second.sendChunk(snapshotLine(2, entries(500)));
    awaitMetric(relay, "entries", 500);
    assertEquals(1, metric(relay, "malformed"));
    assertTrue(upstream.isClosedByRelay());
  }

  private void repeatUntilClosed(String text) {
    String piece = text.repeat(4096);
    try {
      // 4,096,000 bytes, 15 times the limit of a line: 8 KiB and 512 bytes for each of 500 entries
      for (int i = 0; i < 1_000; i++) upstream.sendChunk(piece);
    } catch (java.io.IOException e) {
      // expected: the relay has closed the connection
    }
  }

  /**
   * A watcher reconnects to a relay whose list is older than the watcher's. It receives only
   * keep-alives until that relay's version is newer than the watcher's.
   */
  @Test
  void watcherReceivesNothingOlderFromARelayThatLags() throws Exception {
    Relay ahead = relay("", snapshotLine(9, entry("s-1", "Terminating")));
    TestUpstream lateUpstream = newUpstream();
    Relay lagging = relay("", lateUpstream);
    lateUpstream.answer();
    lateUpstream.sendChunk(snapshotLine(5, entry("s-1", "Ready")));
    awaitMetric(lagging, "version", 5);
    TestWatcher watcher = watcher(ahead, 0);
    assertEquals(9, watcher.list().get("index").getAsLong());
    stop(ahead);
    relays.remove(ahead);
    assertNull(watcher.list());
    watcher = watcher(lagging, 9);
    assertEquals("", watcher.line());
    lateUpstream.sendChunk(changesLine(6, entry("s-1", "Terminating")))
        .sendChunk(changesLine(9, entry("s-1", "Terminating")));
    awaitMetric(lagging, "version", 9);
    lateUpstream.sendChunk(changesLine(10, entry("s-1", "Gone")));
    assertEquals(changesLine(10, entry("s-1", "Gone")).trim(), watcher.list().toString());
  }

  @Test
  void stopEndsAllWatches() throws Exception {
    Relay relay = relay("", snapshotLine(5, entry("s-1", "Ready")));
    TestWatcher watcher = watcher(relay, 0);
    assertEquals(5, watcher.list().get("index").getAsLong());
    stop(relay);
    assertNull(watcher.list());
    assertTrue(upstream.isClosedByRelay());
    relays.clear();
  }
}
