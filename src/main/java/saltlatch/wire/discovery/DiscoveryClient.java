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
import saltlatch.api.Ticks;
import saltlatch.state.HeapExhaustion;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.TimerQueue;
import saltlatch.wire.LimitExceededException;
import saltlatch.wire.ProtocolException;
import saltlatch.wire.transport.Scheduler;

/**
 * Follows the endpoint list through a watch: an HTTP request whose response stays open and delivers
 * each change when it happens. A watch that is silent or does not start is ended after a time
 * limit, and the listener opens the next one. Everything that discovery holds and is able to send
 * therefore arrives within {@link #SILENCE_TIMEOUT_TICKS} and a round trip, except for a list that
 * is too large: {@link WatchPacing} requests it at growing intervals.
 *
 * <p>At most one watch is open. Watches are numbered, and whatever arrives late from an ended watch
 * is ignored. No watch is opened while a list is being applied.
 *
 * <p>Owned by the node's event loop; times are in ticks.
 */
public final class DiscoveryClient {
  /** Receives the list and its changes on the node's event loop. */
  public interface Listener {
    /**
     * Receives a list or a change.
     *
     * @param applied must be run once all of it is applied, now or in a later event-loop iteration
     */
    void endpointsReceived(EndpointList list, Runnable applied);

    /** The watch has ended; {@link DiscoveryClient#openWatch()} opens the next one. */
    void watchEnded();
  }

  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

  // Discovery sends an empty line every 2 s: covers two intervals and a delay of 0.5 s.
  private static final long SILENCE_TIMEOUT_TICKS = 4_500 * Ticks.PER_MILLISECOND;
  // The agent runs on this machine: it answers at once, or it is down.
  private static final long BEGIN_TIMEOUT_TICKS = 2 * Ticks.PER_SECOND;
  private static final int MAX_BYTES_WITHOUT_PAUSE = 32 << 10;
  private static final long MAX_TICKS_WITHOUT_PAUSE = Ticks.PER_MILLISECOND;
  private static final int MAX_CHUNK_BYTES = 2 << 10; // parsed without a look at the clock
  private static final long READ_PAUSE_TICKS = Ticks.PER_MILLISECOND;
  private static final int STATUS_OK = 200;

  private final Vertx vertx;
  private final Scheduler scheduler;
  private final Listener listener;
  private final NodeMetrics metrics;
  private final WatchPosition position;
  private final WatchPacing pacing = new WatchPacing();
  private HttpClient client; // created with the first watch, which is opened once the node serves
  private SocketAddress address;
  private int listsBeingApplied;
  private Runnable pendingOpening; // opens the watch that waits for these lists; null: none waits
  private int bytesSincePause;
  private long ticksSincePause; // spent on received bytes
  private HttpClientRequest request; // of the open watch; null: none
  // opens the watch when due, or ends it if its first or next line is late; null: no watch
  private TimerQueue.Timer timeout;
  private int currentWatch; // number of the watch whose events are handled

  /**
   * Creates a client that does nothing until {@link #openWatch()} is called.
   *
   * @param initial the list with which the node starts
   */
  public DiscoveryClient(Vertx vertx, SocketAddress address, Scheduler scheduler, Listener listener,
      NodeMetrics metrics, EndpointList initial) {
    this.vertx = vertx;
    this.address = address;
    this.scheduler = scheduler;
    this.listener = listener;
    this.metrics = metrics;
    position = new WatchPosition(initial);
  }

  /** Ends the current watch, if any, and opens another one as soon as the pacing allows. */
  public void openWatch() {
    closeWatch();
    int watch = ++currentWatch;
    timeout = scheduler.scheduleAt(pacing.nextOpeningAtTicks(scheduler.now()), () -> open(watch));
  }

  /** Uses another address from now on; a watch that is open or due is replaced at once. */
  public void changeAddress(SocketAddress newAddress) {
    if (address.equals(newAddress)) return;
    address = newAddress;
    pacing.addressChanged();
    if (timeout != null) openWatch();
  }

  /** Ends the watch without notifying the listener. */
  public void closeWatch() {
    currentWatch++;
    if (timeout != null) timeout.cancel();
    timeout = null;
    pendingOpening = null;
    if (request != null) request.reset();
    request = null;
  }

  private void open(int watch) {
    // Guards against receiving a list again while it is being applied: a request sent now could
    // only give the index before that list.
    if (listsBeingApplied > 0) {
      pendingOpening = () -> open(watch);
      return;
    }
    HttpClient http = client();
    pacing.opened(scheduler.now());
    metrics.add(Metric.WATCHES_OPENED);
    expectWithin(watch, BEGIN_TIMEOUT_TICKS);
    http.request(HttpMethod.GET, address.port(), address.host(), position.requestPath())
        .onComplete(creation -> {
          if (creation.failed()) end(watch, creation.cause());
          else if (watch != currentWatch) creation.result().reset();
          else send(creation.result(), watch);
        });
  }

  private HttpClient client() {
    if (client == null) {
      client = vertx.createHttpClient(new HttpClientOptions()
          .setConnectTimeout((int) (BEGIN_TIMEOUT_TICKS / Ticks.PER_MILLISECOND))
          .setMaxChunkSize(MAX_CHUNK_BYTES).setDecompressionSupported(false).setIdleTimeout(0));
    }
    return client;
  }

  private void send(HttpClientRequest created, int watch) {
    request = created;
    request.exceptionHandler(e -> end(watch, e));
    request.send().onFailure(e -> end(watch, e)).onSuccess(response -> read(response, watch));
  }

  private void read(HttpClientResponse response, int watch) {
    if (response.statusCode() != STATUS_OK) {
      end(watch, new IllegalStateException(
          "expected status " + STATUS_OK + ", found " + response.statusCode()));
      return;
    }
    EndpointListParser parser = new EndpointListParser();
    startAfterPause();
    response.exceptionHandler(e -> end(watch, e));
    response.endHandler(v -> end(watch, null));
    response.handler(received -> {
      if (watch != currentWatch) return;
      long startTicks = scheduler.now();
      parse(parser, received, watch);
      bytesSincePause += received.length();
      ticksSincePause += scheduler.now() - startTicks;
      if (watch == currentWatch) pauseIfDue(response, watch);
    });
  }

  /**
   * Parses received bytes. A list that cannot be parsed ends the watch, so that the list is
   * requested again; otherwise its changes would never arrive.
   */
  private void parse(EndpointListParser parser, Buffer received, int watch) {
    try {
      // Only complete entries, objects and empty lines count as progress: otherwise the bytes of a
      // line that never ends would keep a watch open that delivers nothing.
      boolean progress = parser.feed(received, list -> accept(list, watch));
      if (progress && watch == currentWatch) expectWithin(watch, SILENCE_TIMEOUT_TICKS);
    } catch (LimitExceededException e) {
      refuse(e.getMessage(), watch);
    } catch (ProtocolException e) {
      metrics.add(Metric.ENDPOINT_LISTS_MALFORMED);
      end(watch, e);
    } catch (OutOfMemoryError e) {
      refuse(HeapExhaustion.explain(e), watch);
    }
  }

  /**
   * Pauses reading after {@link #MAX_TICKS_WITHOUT_PAUSE} of work or
   * {@link #MAX_BYTES_WITHOUT_PAUSE}, so that the event loop can do other work. Guards against a
   * long list, or very many short ones, that block the loop until requests time out.
   */
  private void pauseIfDue(HttpClientResponse response, int watch) {
    boolean isDue = bytesSincePause >= MAX_BYTES_WITHOUT_PAUSE
        || ticksSincePause >= MAX_TICKS_WITHOUT_PAUSE;
    if (!isDue) return;
    startAfterPause();
    response.pause();
    scheduler.scheduleAt(scheduler.now() + READ_PAUSE_TICKS, () -> {
      if (watch == currentWatch) response.resume();
    });
  }

  private void startAfterPause() {
    bytesSincePause = 0;
    ticksSincePause = 0;
  }

  private void refuse(String reason, int watch) {
    long backoffTicks = pacing.listRefused(scheduler.now());
    metrics.add(Metric.ENDPOINT_LISTS_TOO_LARGE);
    LOG.warn("list_refused retry_s={} reason={}", backoffTicks / Ticks.PER_SECOND, reason);
    end(watch, new IllegalStateException("endpoint list exceeds a limit"));
  }

  private void accept(EndpointList list, int watch) {
    if (watch != currentWatch) return;
    switch (position.advanceTo(list)) {
      case STALE -> metrics.add(Metric.ENDPOINT_LISTS_STALE);
      case UNKNOWN_SERIES -> end(watch, new IllegalStateException(
          "expected a snapshot first, found a change of unknown series " + list.series()));
      case ACCEPT -> {
        pacing.listAccepted();
        metrics.add(Metric.ENDPOINT_LISTS);
        listsBeingApplied++;
        listener.endpointsReceived(list, () -> applied(list));
      }
    }
  }

  private void applied(EndpointList list) {
    position.applied(list);
    listsBeingApplied--;
    if (listsBeingApplied > 0 || pendingOpening == null) return;
    Runnable opening = pendingOpening;
    pendingOpening = null;
    opening.run();
  }

  private void expectWithin(int watch, long ticks) {
    if (timeout != null) timeout.cancel();
    timeout = scheduler.scheduleAt(scheduler.now() + ticks, () -> end(watch, null));
  }

  /** Ends the watch unless it has ended already; {@code cause} null: it was silent or closed. */
  private void end(int watch, Throwable cause) {
    if (watch != currentWatch) return;
    metrics.add(Metric.WATCHES_BROKEN);
    LOG.info("watch_ended reason={}", cause == null ? "silent or closed" : cause.toString());
    closeWatch();
    listener.watchEnded();
  }
}
