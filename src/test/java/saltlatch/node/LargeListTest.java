package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltlatch.api.GatewayEvent;

/** Endpoint lists of the size that is expected in future, from discovery's socket to the policy. */
@Timeout(60)
class LargeListTest extends NodeHarness {
  private static final int SERVER_COUNT = 34_000;

  private final BlockingQueue<GatewayEvent.EndpointsUpdated> events = new LinkedBlockingQueue<>();
  private final List<GatewayEvent.Endpoint> entries = new ArrayList<>(); // from all events so far

  private static String entryJson(String name, String status) {
    return "{\"name\":\"" + name
        + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\"status\":\""
        + status + "\",\"weight\":1.0,\"since_ms\":1764651600000}";
  }

  private static String listJson(int index, boolean snapshot, List<String> endpoints) {
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
        + String.join(",", endpoints) + "]}\n";
  }

  private static List<String> readyEntries(int from, int to) {
    List<String> readyList = new ArrayList<>();
    for (int i = from; i < to; i++) readyList.add(entryJson("s-" + i, "Ready"));
    return readyList;
  }

  private Socket acceptWatch(String sinceIndex) throws IOException {
    Socket watch = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=" + sinceIndex + " HTTP/1.1", readLine(watch));
    eventHandler = event -> {
      if (event instanceof GatewayEvent.EndpointsUpdated update) events.add(update);
    };
    return watch;
  }

  private static void sendChunk(Socket watch, String body) throws IOException {
    send(watch, Integer.toHexString(body.length()) + "\r\n" + body + "\r\n");
  }

  /**
   * Collects events until they have {@code count} entries in all. Each event must be one slice and
   * the only event of its batch.
   */
  private void awaitEntries(int count) throws InterruptedException {
    while (entries.size() < count) {
      GatewayEvent.EndpointsUpdated event = events.poll(20, TimeUnit.SECONDS);
      assertTrue(event != null, entries.size() + " entries, then nothing");
      assertEquals(GatewayEvent.EndpointUpdateKind.DELTA, event.kind());
      assertTrue(event.endpoints().size() <= EndpointListApplier.MAX_ENTRIES_PER_SLICE,
          event.endpoints().size() + " in one event");
      entries.addAll(event.endpoints());
    }
    assertEquals(count, entries.size());
    for (List<String> batch : batches)
      assertTrue(batch.size() == 1, () -> batch.size() + " events at once");
  }

  private int distinctServers(GatewayEvent.EndpointState state) {
    BitSet serverIds = new BitSet();
    entries.stream().filter(entry -> entry.state() == state)
        .forEach(entry -> serverIds.set((int) entry.serverId()));
    return serverIds.cardinality();
  }

  /**
   * A large snapshot reaches the policy completely, in slices: first the servers that left the
   * list, then the draining ones, then the rest. A newer change comes after it.
   */
  @Test
  void deliversALargeSnapshotInSlices() throws Exception {
    Socket watch = acceptWatch("1");
    List<String> endpoints = readyEntries(1, SERVER_COUNT);
    endpoints.add(entryJson("drains", "Terminating"));
    sendFirstChunk(watch, listJson(2, true, endpoints));
    sendChunk(watch, listJson(3, false, List.of(entryJson("s-5", "Terminating"))));
    awaitEntries(SERVER_COUNT + 2);
    // s-0 is in the cached list only
    assertEquals(GatewayEvent.EndpointState.REMOVED, entries.get(0).state());
    assertEquals(0, entries.get(0).serverId());
    assertEquals(GatewayEvent.EndpointState.DRAINING, entries.get(1).state());
    assertEquals(SERVER_COUNT - 1, distinctServers(GatewayEvent.EndpointState.READY));
    GatewayEvent.Endpoint last = entries.get(SERVER_COUNT + 1);
    assertEquals(GatewayEvent.EndpointState.DRAINING, last.state());
    assertEquals(3, last.keyGroup());
    watch.close();
    acceptWatch("3");
  }

  /**
   * A snapshot that names few servers removes thousands, one slice at a time. If a list has several
   * entries with the same name, the last one counts.
   */
  @Test
  void deliversRemovalsAndAdditionsInSlices() throws Exception {
    Socket watch = acceptWatch("1");
    List<String> first = readyEntries(0, 2_000);
    first.add(entryJson("s-7", "Gone"));
    sendFirstChunk(watch, listJson(2, true, first));
    awaitEntries(2_000);
    assertEquals(1, distinctServers(GatewayEvent.EndpointState.REMOVED));
    assertEquals(1_999, distinctServers(GatewayEvent.EndpointState.READY));
    entries.clear();
    sendChunk(watch, listJson(3, true, List.of(entryJson("s-9", "Ready"))));
    awaitEntries(1_999);
    assertEquals(1_998, distinctServers(GatewayEvent.EndpointState.REMOVED));
    assertEquals(GatewayEvent.EndpointState.READY, entries.get(1_998).state());
    entries.clear();
    sendChunk(watch, listJson(4, false, readyEntries(10_000, 10_600)));
    awaitEntries(600);
    assertEquals(600, distinctServers(GatewayEvent.EndpointState.READY));
  }

  /** A list of at most one slice reaches the policy as one event of the kind that was sent. */
  @Test
  void deliversASmallListAsOneEvent() throws Exception {
    Socket watch = acceptWatch("1");
    sendFirstChunk(watch,
        listJson(2, true, readyEntries(1, 1 + EndpointListApplier.MAX_ENTRIES_PER_SLICE)));
    GatewayEvent.EndpointsUpdated event = events.poll(20, TimeUnit.SECONDS);
    assertEquals(GatewayEvent.EndpointUpdateKind.SNAPSHOT, event.kind());
    assertEquals(EndpointListApplier.MAX_ENTRIES_PER_SLICE, event.endpoints().size());
  }

  /**
   * The agent closes the watch while the slices are being delivered. The rest of the list is still
   * applied, and the next watch continues from the list's index.
   */
  @Test
  void appliesAListWhoseWatchEndsDuringDelivery() throws Exception {
    Socket watch = acceptWatch("1");
    sendFirstChunk(watch, listJson(2, true, readyEntries(0, SERVER_COUNT)));
    assertEquals(EndpointListApplier.MAX_ENTRIES_PER_SLICE, events.take().endpoints().size());
    watch.close();
    while (distinctServers(GatewayEvent.EndpointState.READY) < SERVER_COUNT
        - EndpointListApplier.MAX_ENTRIES_PER_SLICE) {
      entries.addAll(events.poll(20, TimeUnit.SECONDS).endpoints());
    }
    acceptWatch("2");
  }
}
