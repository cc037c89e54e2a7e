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

/** The watch on real connections with a clock that the test moves: what it asks for, and when. */
@Timeout(60)
class DiscoveryClientTest {
  private static final String READY = "{\"name\":\"s-1\",\"address\":\"127.0.0.1:9\",\"status\":\"Ready\"}";

  /**
   * A clock and timers that move by hand; what is asked of them is noted, in ticks from
   * then.
   */
  private final class ManualScheduler implements Scheduler {
    private final TimerQueue timers = new TimerQueue();
    private long now = 1_000_000;

    @Override
    public long now() {
      return now;
    }

    @Override
    public TimerQueue.Timer scheduleAt(long when, Runnable then) {
      events.add("at " + (when - now));
      return timers.add(when, then);
    }

    @Override
    public void afterCurrentIteration(Runnable then) {
      then.run();
    }
  }

  /** Follows again at once, and says that a list is applied when the test wants it to. */
  private final class Follower implements DiscoveryClient.Listener {
    @Override
    public void endpointsReceived(EndpointList list, Runnable applied) {
      events.add("listed " + list.series() + "/" + list.index());
      if (appliesAtOnce) applied.run();
      else toApply.add(applied);
    }

    @Override
    public void watchEnded() {
      events.add("ended");
      discovery.openWatch();
    }
  }

  private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<Runnable> toApply = new LinkedBlockingQueue<>();
  private final List<Socket> sockets = new ArrayList<>();
  private final ManualScheduler scheduler = new ManualScheduler();
  private final NodeMetrics counters = new NodeMetrics();
  private volatile boolean appliesAtOnce = true;
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
        new Follower(), counters, new EndpointList(0, 1, true, List.of()));
    runOnLoop(discovery::openWatch);
    next("at 0");
  }

  @AfterEach
  void end() throws Exception {
    for (Socket s : sockets) s.close();
    agent.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void runOnLoop(Runnable what) throws Exception {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(v -> {
      what.run();
      done.complete(null);
    });
    done.get(10, TimeUnit.SECONDS);
  }

  private void pass(long ticks) throws Exception {
    runOnLoop(() -> {
      scheduler.now += ticks;
      scheduler.timers.runDue(scheduler.now);
    });
  }

  private void next(String... expected) throws InterruptedException {
    for (String one : expected) assertEquals(one, events.poll(20, TimeUnit.SECONDS));
  }

  /** Opens the watch that is due after {@code ticks}, and has it answered with this beginning. */
  private void watched(long ticks, String asks, String begins) throws Exception {
    pass(ticks);
    watch = agent.accept();
    sockets.add(watch);
    String line = new BufferedReader(
        new InputStreamReader(watch.getInputStream(), StandardCharsets.ISO_8859_1)).readLine();
    assertEquals("GET /api/targets?follow=1&" + asks + " HTTP/1.1", line);
    next("at 20000");
    write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!begins.isEmpty()) more(begins);
  }

  private void more(String body) throws IOException {
    write(Integer.toHexString(body.length()) + "\r\n" + body + "\r\n");
  }

  private void write(String text) throws IOException {
    watch.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String list(long series, int index, boolean whole) {
    return "{\"index\":" + index + ",\"snapshot\":" + whole
        + (series > 0 ? ",\"series\":" + series : "") + ",\"endpoints\":[" + READY + "]}\n";
  }

  private static String tooLarge() {
    return "{\"index\":9,\"snapshot\":true,\"endpoints\":[{\"name\":\""
        + "x".repeat(EndpointListParser.MAX_PART_BYTES);
  }

  /**
   * Ever more seldom, up to 5 min; a list that can be taken ends that, as does an address of
   * another agent.
   */
  @Test
  void tooLargeListsAreAskedForEverMoreSeldom() throws Exception {
    long due = 0;
    for (long pause : new long[] {10_000, 20_000, 40_000, 80_000, 160_000, 320_000, 640_000,
        1_280_000, 2_560_000, 3_000_000, 3_000_000}) {
      watched(due, "since=1", tooLarge());
      next("ended", "at " + pause);
      due = pause;
    }
    assertTrue(counters.infoText().contains("lists_refused=11\n"));
    watched(due, "since=1", list(0, 2, true));
    next("listed 0/2", "at 45000");
    more(tooLarge());
    next("ended", "at 10000");
    runOnLoop(() -> discovery
        .changeAddress(SocketAddress.inetSocketAddress(agent.getLocalPort(), "localhost")));
    next("at 0");
  }

  /**
   * What is malformed, or ends, is asked for 1 s behind the last opening: told changes wait for no
   * back-off.
   */
  @Test
  void otherEndsKnowNoBackOff() throws Exception {
    long due = 0;
    for (int i = 0; i < 4; i++) {
      watched(due, "since=1", i % 2 == 0 ? "{\"index\":2,\"endpoints\":[5]}\n" : "x".repeat(9_000));
      next("ended", "at 10000");
      due = 10_000;
    }
    assertTrue(counters.infoText().contains("lists_malformed=4\nlists_old=0\nlists_refused=0\n"));
  }

  /**
   * A long line that comes slowly is read to its end; one whose entry never ends is given up in
   * time.
   */
  @Test
  void slowLine() throws Exception {
    watched(0, "since=1", "{\"index\":2,\"snapshot\":true,\"endpoints\":[");
    pass(15_000);
    for (int i = 0; i < 5; i++) {
      more((i == 0 ? "" : ",") + READY);
      next("at 45000");
      pass(44_999);
    }
    more("]}\n");
    next("listed 0/2", "at 45000");
    more("{\"index\":3,\"snapshot\":true,\"endpoints\":[" + READY);
    next("at 45000");
    pass(44_999);
    more(",{\"name\":\"s-2");
    pass(1);
    next("ended", "at 0");
  }

  /**
   * While a list is being applied no other watch opens, and the next one goes on behind that list.
   */
  @Test
  void brokenWhileAListIsBeingApplied() throws Exception {
    appliesAtOnce = false;
    watched(0, "since=1", list(0, 2, true));
    next("listed 0/2", "at 45000");
    more(list(0, 3, false));
    next("listed 0/3", "at 45000");
    watch.close();
    next("ended", "at 10000");
    pass(10_000);
    runOnLoop(toApply.take());
    assertTrue(counters.infoText().contains("watches=1\n"));
    runOnLoop(toApply.take());
    watched(0, "since=3", list(0, 4, false));
    next("listed 0/4", "at 45000");
  }

  /**
   * A series that begins anew is taken from its whole list; what comes of an older one later is
   * passed over.
   */
  @Test
  void seriesThatBeginsAnew() throws Exception {
    watched(0, "since=1", list(0, 40, true) + list(100, 41, false));
    next("listed 0/40", "ended", "at 10000");
    watched(10_000, "since=0", list(100, 5, true) + list(0, 50, true) + list(99, 60, true)
        + list(100, 4, true) + list(100, 6, false));
    next("listed 100/5", "listed 100/6", "at 45000");
    watch.close();
    next("ended", "at 10000");
    watched(10_000, "since=6&series=100", list(200, 1, false));
    next("ended", "at 10000");
    watched(10_000, "since=0&series=100", list(200, 1, true));
    next("listed 200/1", "at 45000");
    assertTrue(counters.infoText().contains("lists_old=3\n"));
  }
}
