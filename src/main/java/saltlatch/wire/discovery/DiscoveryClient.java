package saltlatch.wire.discovery;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.state.HeapExhaustion;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.TimerQueue;
import saltlatch.wire.transport.Scheduler;

/**
 * Follows the list of app srvs. What discovery has and can tell is known here within
 * {@link #SILENT} and one round trip: a watch that says nothing for so long is given up, one that
 * does not begin within {@link #BEGINS} sooner, and the next opens at once, or {@link #APART}
 * behind the last one's opening. That stays under the 6 s after which a change counts as told. A
 * list that is too large is the exception: the same would come again, so it is asked for ever more
 * seldom.
 */
public final class DiscoveryClient {
  /** Whom the list is told to. */
  public interface Listener {
    /** Runs {@code applied} once all of the list is in force, in the same turn or a later one. */
    void listed(EndpointList list, Runnable applied);

    /** Followed again at once by {@link DiscoveryClient#follow()} where changes come unasked. */
    void watchEnded();
  }

  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

  // Pacing; times are tenths of a ms.
  private static final long SILENT = 45_000; // 4.5 s: two of the empty lines that come every 2 s
  // 2 s: the agent is on this machine and answers at once, or it is down
  private static final long BEGINS = 20_000;
  // 1 s between openings: an agent that resets each must not be stormed
  private static final long APART = 10_000;
  // 1 s after a list too large: it may be cut down at once
  private static final long REFUSED_FIRST = 10_000;
  // 5 min: 4 MB read for nothing each time are 14 KB/s by then
  private static final long REFUSED_MOST = 3_000_000;
  // bytes decoded in a row: some 260 entries, about 1 ms
  private static final int READ_AT_ONCE = 32 << 10;
  private static final long READ_PAUSE = 10; // 1 ms for the loop's other work, between such rows

  private final Vertx vertx;
  private HttpClient client; // made when first used, which is after the node serves
  private SocketAddress address;
  private final Scheduler scheduler;
  private final Listener host;
  private final NodeMetrics counters;
  private long series; // of the newest list taken
  private long newest; // its index; it may be on its way to being applied
  private long index; // of the newest list applied in full: the watch goes on from there
  private int beingApplied; // lists
  private Runnable whenApplied; // null: nothing waits for that
  private boolean wantsWhole; // a change of an unknown series came: what it builds on is asked for
  private long refusedPause; // after the last list, which was too large; 0: it was not
  private long notBefore = Long.MIN_VALUE / 2; // the next opening, for that pause
  private int readInRow; // bytes
  private HttpClientRequest watch;
  // of what must come next: the opening, the first line, another line; null: no watch is on
  private TimerQueue.Timer limit;
  private long openedAt = Long.MIN_VALUE / 2;
  private int turn; // of the watches, so that what comes late from an ended one is passed over

  public DiscoveryClient(Vertx vertx, SocketAddress address, Scheduler scheduler, Listener host,
      NodeMetrics counters, EndpointList known) {
    this.address = address;
    this.scheduler = scheduler;
    this.host = host;
    this.counters = counters;
    series = known.series();
    newest = known.index();
    index = known.index();
    this.vertx = vertx;
  }

  public void follow() {
    stop();
    int mine = ++turn;
    limit = scheduler.at(Math.max(scheduler.now(), Math.max(openedAt + APART, notBefore)),
        () -> open(mine));
  }

  /**
   * The list is asked for at another address from now on; a watch that is on goes on there, at
   * once.
   */
  public void move(SocketAddress to) {
    if (address.equals(to)) return;
    address = to;
    openedAt -= APART;
    notBefore = openedAt;
    refusedPause = 0;
    if (limit != null) follow();
  }

  public void stop() {
    turn++;
    if (limit != null) limit.cancel();
    limit = null;
    whenApplied = null;
    if (watch != null) watch.reset();
    watch = null;
  }

  private void open(int mine) {
    // Guards against a list that is asked for again while it is being applied.
    if (beingApplied > 0) {
      whenApplied = () -> open(mine);
      return;
    }
    if (client == null) {
      client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) BEGINS / 10)
          .setDecompressionSupported(false).setIdleTimeout(0));
    }
    openedAt = scheduler.now();
    counters.add(Metric.WATCHES_OPENED);
    expect(mine, BEGINS);
    client.request(HttpMethod.GET, address.port(), address.host(), path()).onComplete(made -> {
      if (mine != turn) {
        if (made.succeeded()) made.result().reset();
        return;
      }
      if (made.failed()) {
        broke(mine, made.cause());
        return;
      }
      watch = made.result();
      watch.exceptionHandler(e -> broke(mine, e));
      watch.send().onFailure(e -> broke(mine, e)).onSuccess(response -> read(response, mine));
    });
  }

  private String path() {
    String path = "/api/targets?follow=1&since=" + (wantsWhole ? 0 : index);
    return series > 0 ? path + "&series=" + series : path;
  }

  private void read(HttpClientResponse response, int mine) {
    if (response.statusCode() != 200) {
      broke(mine, new IllegalStateException("status " + response.statusCode()));
      return;
    }
    EndpointListParser lists = new EndpointListParser();
    readInRow = 0;
    response.exceptionHandler(e -> broke(mine, e));
    response.endHandler(v -> broke(mine, null));
    response.handler(more -> {
      if (mine != turn) return;
      feed(lists, more, mine);
      if (mine == turn) rest(response, more.length(), mine);
    });
  }

  /** What can't be read is asked for again: the changes it held would never be told otherwise. */
  private void feed(EndpointListParser lists, Buffer more, int mine) {
    try {
      // Guards against a line that never ends: only what is whole says that the watch is well.
      boolean whole = lists.feed(more, list -> take(list, mine));
      if (whole && mine == turn) expect(mine, SILENT);
    } catch (EndpointListParser.Unreadable e) {
      if (e.isTooLarge()) refuse(e.getMessage(), mine);
      else {
        counters.add(Metric.ENDPOINT_LISTS_MALFORMED);
        broke(mine, e);
      }
    } catch (OutOfMemoryError e) {
      refuse(HeapExhaustion.explain(e), mine);
    }
  }

  /**
   * Guards against a long list that holds the loop up: between rows of it the loop does what else
   * there is.
   */
  private void rest(HttpClientResponse response, int bytes, int mine) {
    readInRow += bytes;
    if (readInRow < READ_AT_ONCE) return;
    readInRow = 0;
    response.pause();
    scheduler.at(scheduler.now() + READ_PAUSE, () -> {
      if (mine == turn) response.resume();
    });
  }

  private void refuse(String why, int mine) {
    refusedPause = Math.min(REFUSED_MOST, refusedPause == 0 ? REFUSED_FIRST : 2 * refusedPause);
    notBefore = scheduler.now() + refusedPause;
    counters.add(Metric.ENDPOINT_LISTS_TOO_LARGE);
    LOG.warn("list refused, asked for again in {} s: {}", refusedPause / 10_000, why);
    broke(mine, new IllegalStateException("a list too large"));
  }

  private void take(EndpointList list, int mine) {
    if (mine != turn) return;
    // Guards against an agent that is behind the one asked before (SIGHUP, a return): its list
    // would turn drains back.
    if (list.series() < series || list.series() == series && list.index() < newest) {
      counters.add(Metric.ENDPOINT_LISTS_STALE);
      return;
    }
    if (list.series() > series && !list.snapshot()) {
      wantsWhole = true;
      broke(mine,
          new IllegalStateException("a change of series " + list.series() + ", not known yet"));
      return;
    }
    wantsWhole = wantsWhole && !list.snapshot();
    series = list.series();
    newest = list.index();
    refusedPause = 0;
    counters.add(Metric.ENDPOINT_LISTS);
    beingApplied++;
    host.listed(list, () -> applied(list));
  }

  private void applied(EndpointList list) {
    index = list.index();
    beingApplied--;
    if (beingApplied > 0 || whenApplied == null) return;
    Runnable then = whenApplied;
    whenApplied = null;
    then.run();
  }

  private void expect(int mine, long within) {
    if (limit != null) limit.cancel();
    limit = scheduler.at(scheduler.now() + within, () -> broke(mine, null));
  }

  private void broke(int mine, Throwable why) {
    if (mine != turn) return;
    counters.add(Metric.WATCHES_BROKEN);
    LOG.info("watch ended: {}", why == null ? "silent or closed" : why.toString());
    stop();
    host.watchEnded();
  }
}
