package saltlatch.wire;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.state.Counters;
import saltlatch.state.Counters.Count;
import saltlatch.state.Timers;

/**
 * Follows the list of app srvs. What discovery has and can tell is known here within {@link #SILENT} and one round trip:
 * a watch that says nothing for so long is given up, one that does not begin within {@link #BEGINS} sooner, and the next
 * opens at once, or {@link #APART} behind the last one's opening. That stays under the 6 s after which a change counts as
 * told.
 */
public final class Discovery {
  /** Whom the list is told to. */
  public interface Host {
    void listed(TargetList list);

    /** Followed again at once by {@link Discovery#follow()} where changes come unasked. */
    void watchEnded();
  }

  private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
  private static final long SILENT = 45_000; // 4.5 s: two of the empty lines that come every 2 s
  private static final long BEGINS = 20_000; // 2 s: the agent is on this machine and answers at once, or it is down
  private static final long APART = 10_000; // 1 s between openings: an agent that resets each must not be stormed

  private final Vertx vertx;
  private HttpClient client; // made when first used, which is after the node serves
  private SocketAddress address;
  private final Desk desk;
  private final Host host;
  private final Counters counters;
  private long index;
  private HttpClientRequest watch;
  private Timers.Timer limit; // of what must come next: the opening, the first line, another line; null: no watch is on
  private long openedAt = Long.MIN_VALUE / 2;
  private int turn; // of the watches, so that what comes late from an ended one is passed over

  public Discovery(Vertx vertx, SocketAddress address, Desk desk, Host host, Counters counters, long index) {
    this.address = address;
    this.desk = desk;
    this.host = host;
    this.counters = counters;
    this.index = index;
    this.vertx = vertx;
  }

  public void follow() {
    stop();
    int mine = ++turn;
    limit = desk.at(Math.max(desk.now(), openedAt + APART), () -> open(mine));
  }

  /** The list is asked for at another address from now on; a watch that is on goes on there, at once. */
  public void move(SocketAddress to) {
    if (address.equals(to)) return;
    address = to;
    openedAt -= APART;
    if (limit != null) follow();
  }

  public void stop() {
    turn++;
    if (limit != null) limit.drop();
    limit = null;
    if (watch != null) watch.reset();
    watch = null;
  }

  private void open(int mine) {
    if (client == null) {
      client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) BEGINS / 10)
          .setDecompressionSupported(false).setIdleTimeout(0));
    }
    openedAt = desk.now();
    counters.add(Count.WATCHES);
    expect(mine, BEGINS);
    client.request(HttpMethod.GET, address.port(), address.host(), "/api/targets?follow=1&since=" + index)
        .onComplete(made -> {
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

  private void read(HttpClientResponse response, int mine) {
    if (response.statusCode() != 200) {
      broke(mine, new IllegalStateException("status " + response.statusCode()));
      return;
    }
    ListReader lists = new ListReader();
    response.exceptionHandler(e -> broke(mine, e));
    response.endHandler(v -> broke(mine, null));
    response.handler(more -> {
      if (mine != turn) return;
      // Guards against a line that never ends: only what is whole says that the watch is well.
      boolean whole = lists.feed(more, text -> take(text, mine));
      if (whole && mine == turn) expect(mine, SILENT);
      if (lists.isTooLong()) broke(mine, new IllegalStateException("a list without end"));
    });
  }

  /** What can't be read is asked for again: the changes it held would never be told otherwise. */
  private void take(String text, int mine) {
    if (mine != turn) return;
    TargetList list;
    try {
      list = TargetList.of(text);
    } catch (RuntimeException e) {
      counters.add(Count.LISTS_MALFORMED);
      broke(mine, e);
      return;
    }
    // Guards against an agent that is behind the one asked before (SIGHUP, a return): its list would turn drains back.
    if (list.index() < index) {
      counters.add(Count.LISTS_OLD);
      return;
    }
    index = list.index();
    counters.add(Count.LISTS);
    host.listed(list);
  }

  private void expect(int mine, long within) {
    if (limit != null) limit.drop();
    limit = desk.at(desk.now() + within, () -> broke(mine, null));
  }

  private void broke(int mine, Throwable why) {
    if (mine != turn) return;
    counters.add(Count.WATCHES_BROKEN);
    LOG.info("watch ended: {}", why == null ? "silent or closed" : why.toString());
    stop();
    host.watchEnded();
  }
}
