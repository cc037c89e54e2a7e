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
 * What goes through a relay, and what becomes of it when an upstream goes wrong, each way on a real
 * connection.
 */
@Timeout(60)
class RelayTest extends RelayHarness {
  private static final String STRANGE = "{\"name\":\"s-\\\"1\",\"later\":{\"k\":[1.50]},\"status\":\"Ready\"}";

  @Test
  void passesOnWhatCame() throws Exception {
    Relay relay = relay("", upstream);
    TestWatcher early = watcher(relay, 0);
    assertEquals("", early.line()); // there is no list yet, and the watch is on
    assertEquals("/api/targets?follow=1&since=0", upstream.answer());
    upstream.sendChunk(snapshotLine(41, STRANGE, entry("s-2", "Ready")));
    assertEquals(snapshotLine(41, STRANGE, entry("s-2", "Ready")).trim(), early.list().toString());
    upstream.sendChunk(changesLine(42, entry("s-2", "Gone")));
    assertEquals(changesLine(42, entry("s-2", "Gone")).trim(), early.list().toString());
    assertEquals(42, watcher(relay, 0).listAt(42).get("index").getAsLong());
    assertEquals(changesLine(42, entry("s-2", "Gone")).trim(),
        watcher(relay, 41).list().toString());
    // what a whole list leaves out is told as gone, with all its fields
    upstream.sendChunk(snapshotLine(50, entry("s-3", "Ready")));
    assertEquals("[" + STRANGE.replace("Ready", "Gone") + "," + entry("s-3", "Ready") + "]",
        early.list().get("endpoints").toString());
  }

  /** A relay may follow a relay: the series goes up and down with the index. */
  @Test
  void seriesGoesBothWays() throws Exception {
    Relay relay = relay("", snapshotLine(5, entry("s-1", "Ready")).replace("\"snapshot\"",
        "\"series\":77,\"snapshot\""));
    TestWatcher watcher = closeAfterTest(
        new TestWatcher(relay.port(), 0).sendGet("/api/targets?follow=1&since=5&series=77"));
    await(relay, "version", 5);
    upstream.sendChunk(
        changesLine(6, entry("s-1", "Gone")).replace("\"snapshot\"", "\"series\":77,\"snapshot\""));
    assertEquals("{\"index\":6,\"series\":77,\"snapshot\":false",
        watcher.list().toString().split(",\"endpoints", 0)[0]);
    upstream.reset();
    assertEquals("/api/targets?follow=1&since=6&series=77", upstream.answer());
  }

  @Test
  void otherRequests() throws Exception {
    Relay relay = relay("", upstream);
    TestWatcher asks = closeAfterTest(new TestWatcher(relay.port(), 0));
    assertTrue(asks.sendGet("/api/targets").answer()
        .startsWith("HTTP/1.1 503 Service Unavailable\nretry-after: 1\n"));
    assertTrue(asks.sendGet("/").answer().startsWith("HTTP/1.1 404 "));
    assertTrue(asks.sendGet("/api/targets?follow=1&since=x").answer().startsWith("HTTP/1.1 400 "));
    assertTrue(asks.sendGet("/info").answer()
        .contains("\nupstream=127.0.0.1:" + upstream.port() + "\nstale_ms="));
    upstream.answer();
    upstream.sendChunk(snapshotLine(41, STRANGE));
    await(relay, "version", 41);
    assertEquals(snapshotLine(41, STRANGE).trim(), asks.sendGet("/api/targets").line());
    assertNull(asks.line());
    TestWatcher posts = closeAfterTest(new TestWatcher(relay.port(), 0));
    assertTrue(posts.sendText("POST /api/targets HTTP/1.1\r\nContent-Length: 9\r\n\r\n").answer()
        .startsWith("HTTP/1.1 405 "));
    assertEquals(0, metric(relay, "watchers"));
  }

  /** A whole list beyond the budget is refused, or waited for by one who watches. */
  @Test
  void listsAreAdmitted() throws Exception {
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

  /** Silent, then reset, then back with less than was told before: watchers see none of it. */
  @Test
  void upstreamIsCut() throws Exception {
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
    await(relay, "older_passed_over", 2);
    upstream.reset();
    assertEquals("/api/targets?follow=1&since=5", upstream.answer());
    assertEquals(3, metric(relay, "upstream_failures"));
    upstream.sendChunk(changesLine(6, entry("s-2", "Ready")));
    assertEquals(changesLine(6, entry("s-2", "Ready")).trim(), watcher.list().toString());
  }

  /**
   * Refused by the first, the second is followed; both are tried in turn once that one is gone as
   * well.
   */
  @Test
  void anotherUpstreamIsFollowed() throws Exception {
    TestUpstream second = upstream();
    Relay relay = relay("", upstream, second);
    upstream.accept();
    // of no use: what comes with another status is no list
    String list = snapshotLine(9, entry("s-9", "Ready"));
    upstream.write(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
    second.answer();
    second.sendChunk(snapshotLine(7, entry("s-1", "Ready")));
    await(relay, "version", 7);
    assertEquals("127.0.0.1:" + second.port(), metricText(relay, "upstream"));
    second.reset();
    assertEquals("/api/targets?follow=1&since=7", upstream.answer());
  }

  /**
   * Each costs the upstream that sent it, which is not asked again soon; the other one is followed.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {"all is well\n", "{\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":7}]}\n",
          "ENDLESS {\"index\":1,\"snapshot\":true,\"endpoints\":[{\"name\":\"", "ENDLESS {",
          "ENDLESS {\"index\":1,\"snapshot\":true,\"x\":[[", "ENTRIES"})
  void malformedUpstream(String sent) throws Exception {
    TestUpstream second = upstream();
    Relay relay = relay("'entries':500", upstream, second);
    upstream.answer();
    upstream.sendChunk(
        sent.equals("ENTRIES") ? snapshotLine(9, entries(501)) : sent.replace("ENDLESS ", ""));
    if (sent.startsWith("ENDLESS")) repeatUntilLeft(sent.endsWith("[") ? "[" : " ");
    second.answer();
    second.sendChunk(snapshotLine(2, entries(500)));
    await(relay, "entries", 500);
    assertEquals(1, metric(relay, "malformed"));
    assertTrue(upstream.isClosedByRelay());
  }

  private void repeatUntilLeft(String text) {
    String piece = text.repeat(4096);
    try {
      // sixteen times what a line may have
      for (int i = 0; i < 1_000; i++) upstream.sendChunk(piece);
    } catch (java.io.IOException e) {
      // the relay has ended it, which is what was waited for
    }
  }

  /**
   * A watcher that moves to a relay which is behind hears nothing older, and goes on once that one
   * has caught up.
   */
  @Test
  void watcherMovesToOneThatIsBehind() throws Exception {
    Relay ahead = relay("", snapshotLine(9, entry("s-1", "Terminating")));
    TestUpstream late = upstream();
    Relay behind = relay("", late);
    late.answer();
    late.sendChunk(snapshotLine(5, entry("s-1", "Ready")));
    await(behind, "version", 5);
    TestWatcher watcher = watcher(ahead, 0);
    assertEquals(9, watcher.list().get("index").getAsLong());
    stop(ahead);
    relays.remove(ahead);
    assertNull(watcher.list());
    watcher = watcher(behind, 9);
    assertEquals("", watcher.line());
    late.sendChunk(changesLine(6, entry("s-1", "Terminating")))
        .sendChunk(changesLine(9, entry("s-1", "Terminating")));
    await(behind, "version", 9);
    late.sendChunk(changesLine(10, entry("s-1", "Gone")));
    assertEquals(changesLine(10, entry("s-1", "Gone")).trim(), watcher.list().toString());
  }

  @Test
  void stopEndsWatches() throws Exception {
    Relay relay = relay("", snapshotLine(5, entry("s-1", "Ready")));
    TestWatcher watcher = watcher(relay, 0);
    assertEquals(5, watcher.list().get("index").getAsLong());
    stop(relay);
    assertNull(watcher.list());
    assertTrue(upstream.isClosedByRelay());
    relays.clear();
  }
}
