package saltlatch.wire;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.parsetools.RecordParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.state.Counters;
import saltlatch.state.Counters.Count;
import saltlatch.state.Timers;

/** Follows the list of app srvs. */
public final class Discovery {
  /** Whom the list is told to. */
  public interface Host {
    void listed(TargetList list);

    void fetchFailed();

    void watchEnded();
  }

  private static final Logger LOG = LoggerFactory.getLogger(Discovery.class);
  private static final long SILENT = 60_000; // 6 s: three of the empty lines that come every 2 s
  private static final int LONGEST_LINE = 1 << 20; // bytes; a list of thousands of app srvs is shorter

  private final Vertx vertx;
  private HttpClient client; // made when first used, which is after the node serves
  private SocketAddress address;
  private final Desk desk;
  private final Host host;
  private final Counters counters;
  private long index;
  private HttpClientRequest watch;
  private Timers.Timer silence;
  private int turn; // of the watches, so that what comes late from an ended one is passed over

  public Discovery(Vertx vertx, SocketAddress address, Desk desk, Host host, Counters counters, long index) {
    this.address = address;
    this.desk = desk;
    this.host = host;
    this.counters = counters;
    this.index = index;
    this.vertx = vertx;
  }

  private Future<HttpClientRequest> get(String path) {
    if (client == null) {
      client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1_000)
          .setDecompressionSupported(false).setIdleTimeout(0));
    }
    return client.request(HttpMethod.GET, address.port(), address.host(), path);
  }

  public void follow() {
    stop();
    int mine = ++turn;
    counters.add(Count.WATCHES);
    heard(mine);
    request("/api/targets?follow=1&since=" + index, mine);
  }

  /** The list is asked for at another address from now on; a watch that is on goes on there. */
  public void move(SocketAddress to) {
    if (address.equals(to)) return;
    address = to;
    if (silence != null) follow();
  }

  public void stop() {
    turn++;
    if (silence != null) silence.drop();
    silence = null;
    if (watch != null) watch.reset();
    watch = null;
  }

  public void fetch() {
    counters.add(Count.FETCHES);
    get("/api/targets")
        .compose(HttpClientRequest::send)
        .compose(r -> r.body())
        .onSuccess(body -> take(body.toString()))
        .onFailure(e -> host.fetchFailed());
  }

  private void request(String path, int mine) {
    get(path).onComplete(made -> {
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
      watch.send().onFailure(e -> broke(mine, e)).onSuccess(response -> {
        RecordParser lines = RecordParser.newDelimited("\n", line -> {
          if (mine != turn) return;
          heard(mine);
          String text = line.toString().trim();
          if (!text.isEmpty()) take(text);
        });
        lines.maxRecordSize(LONGEST_LINE);
        lines.exceptionHandler(e -> broke(mine, e));
        response.exceptionHandler(e -> broke(mine, e));
        response.endHandler(v -> broke(mine, null));
        response.handler(lines);
      });
    });
  }

  private void take(String text) {
    TargetList list;
    try {
      list = TargetList.of(text);
    } catch (RuntimeException e) {
      counters.add(Count.LISTS_MALFORMED);
      LOG.warn("malformed list passed over: {}", e.toString());
      return;
    }
    index = list.index();
    counters.add(Count.LISTS);
    host.listed(list);
  }

  private void heard(int mine) {
    if (silence != null) silence.drop();
    silence = desk.at(desk.now() + SILENT, () -> broke(mine, null));
  }

  private void broke(int mine, Throwable why) {
    if (mine != turn) return;
    counters.add(Count.WATCHES_BROKEN);
    LOG.info("watch ended: {}", why == null ? "silent or closed" : why.toString());
    stop();
    host.watchEnded();
  }
}
