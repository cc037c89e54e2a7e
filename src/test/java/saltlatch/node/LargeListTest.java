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

/** Lists of the size that is coming, from discovery's socket to the module. */
@Timeout(60)
class LargeListTest extends NodeHarness {
  private static final int MANY = 34_000;

  private final BlockingQueue<GatewayEvent.EndpointsUpdated> events = new LinkedBlockingQueue<>();
  private final List<GatewayEvent.Endpoint> entries = new ArrayList<>(); // of all events so far

  private static String target(String name, String status) {
    return "{\"name\":\"" + name
        + "\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"type\":\"m\",\"group\":3,\"status\":\""
        + status + "\",\"weight\":1.0,\"since_ms\":1764651600000}";
  }

  private static String list(int index, boolean whole, List<String> targets) {
    return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
        + String.join(",", targets) + "]}\n";
  }

  private static List<String> ready(int from, int to) {
    List<String> all = new ArrayList<>();
    for (int i = from; i < to; i++) all.add(target("s-" + i, "Ready"));
    return all;
  }

  private Socket watch(String asks) throws IOException {
    Socket s = accept(discovery);
    assertEquals("GET /api/targets?follow=1&since=" + asks + " HTTP/1.1", readLine(s));
    eventHandler = e -> {
      if (e instanceof GatewayEvent.EndpointsUpdated l) events.add(l);
    };
    return s;
  }

  private static void more(Socket s, String body) throws IOException {
    send(s, Integer.toHexString(body.length()) + "\r\n" + body + "\r\n");
  }

  /**
   * Takes in events until so many entries have come; each event is a slice, and alone among lists
   * in its batch.
   */
  private void until(int count) throws InterruptedException {
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

  private int distinct(GatewayEvent.EndpointState condition) {
    BitSet numbers = new BitSet();
    entries.stream().filter(e -> e.state() == condition)
        .forEach(e -> numbers.set((int) e.serverId()));
    return numbers.cardinality();
  }

  /**
   * All of it is known in the end: what left the list first, then what drains, then the rest; a
   * newer change behind it.
   */
  @Test
  void wholeListInSlices() throws Exception {
    Socket s = watch("1");
    List<String> targets = ready(1, MANY);
    targets.add(target("drains", "Terminating"));
    sendFirstChunk(s, list(2, true, targets));
    more(s, list(3, false, List.of(target("s-5", "Terminating"))));
    until(MANY + 2);
    // s-0, of the list last known
    assertEquals(GatewayEvent.EndpointState.REMOVED, entries.get(0).state());
    assertEquals(0, entries.get(0).serverId());
    assertEquals(GatewayEvent.EndpointState.DRAINING, entries.get(1).state());
    assertEquals(MANY - 1, distinct(GatewayEvent.EndpointState.READY));
    GatewayEvent.Endpoint last = entries.get(MANY + 1);
    assertEquals(GatewayEvent.EndpointState.DRAINING, last.state());
    assertEquals(3, last.keyGroup());
    s.close();
    watch("3");
  }

  /**
   * A whole list that names few removes thousands, a slice at a time; the last entry of a name
   * counts.
   */
  @Test
  void shrinksAndGrows() throws Exception {
    Socket s = watch("1");
    List<String> first = ready(0, 2_000);
    first.add(target("s-7", "Gone"));
    sendFirstChunk(s, list(2, true, first));
    until(2_000);
    assertEquals(1, distinct(GatewayEvent.EndpointState.REMOVED));
    assertEquals(1_999, distinct(GatewayEvent.EndpointState.READY));
    entries.clear();
    more(s, list(3, true, List.of(target("s-9", "Ready"))));
    until(1_999);
    assertEquals(1_998, distinct(GatewayEvent.EndpointState.REMOVED));
    assertEquals(GatewayEvent.EndpointState.READY, entries.get(1_998).state());
    entries.clear();
    more(s, list(4, false, ready(10_000, 10_600)));
    until(600);
    assertEquals(600, distinct(GatewayEvent.EndpointState.READY));
  }

  /** At most a slice goes to the module as one event, as it came. */
  @Test
  void smallListsAreOneEvent() throws Exception {
    Socket s = watch("1");
    sendFirstChunk(s, list(2, true, ready(1, 1 + EndpointListApplier.MAX_ENTRIES_PER_SLICE)));
    GatewayEvent.EndpointsUpdated event = events.poll(20, TimeUnit.SECONDS);
    assertEquals(GatewayEvent.EndpointUpdateKind.SNAPSHOT, event.kind());
    assertEquals(EndpointListApplier.MAX_ENTRIES_PER_SLICE, event.endpoints().size());
  }

  /**
   * The agent ends while the slices go: what was read is applied, and the next watch goes on behind
   * it.
   */
  @Test
  void watchEndsDuringSlices() throws Exception {
    Socket s = watch("1");
    sendFirstChunk(s, list(2, true, ready(0, MANY)));
    assertEquals(EndpointListApplier.MAX_ENTRIES_PER_SLICE, events.take().endpoints().size());
    s.close();
    while (distinct(GatewayEvent.EndpointState.READY) < MANY
        - EndpointListApplier.MAX_ENTRIES_PER_SLICE) {
      entries.addAll(events.poll(20, TimeUnit.SECONDS).endpoints());
    }
    watch("2");
  }
}
