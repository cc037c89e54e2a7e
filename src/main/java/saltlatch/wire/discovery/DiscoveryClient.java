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
 * Follows the endpoint list by a watch: one HTTP request whose response never ends and brings each
 * change as it happens. A watch that is silent, or does not begin, is given up after a time limit,
 * and the listener opens the next one. So whatever discovery has, and can send, is known here
 * within {@link #SILENCE_TIMEOUT_TICKS} and a round trip. A list that is too large is the
 * exception: {@link WatchPacing} asks for it ever more seldom.
 *
 * <p>At most one watch is on; what comes late from an ended one is ignored by its number. No watch
 * is opened while a list is being applied.
 *
 * <p>Owned by the node's event loop; times are ticks.
 */
public final class DiscoveryClient {
  /** Gets the list and its changes, on the node's event loop. */
  public interface Listener {
    /**
     * A list or change has come.
     *
     * @param applied to be run once all of it is applied, in the same turn or a later one
     */
    void endpointsReceived(EndpointList list, Runnable applied);

    /** The watch has ended; {@link DiscoveryClient#openWatch()} opens the next one. */
    void watchEnded();
  }

  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);

  // two of the empty lines that come every 2 s, and some time for the second
  private static final long SILENCE_TIMEOUT_TICKS = 4_500 * Ticks.PER_MILLISECOND;
  // the agent is on this machine: it answers at once, or it is down
  private static final long BEGIN_TIMEOUT_TICKS = 2 * Ticks.PER_SECOND;
  private static final int MAX_BYTES_IN_A_ROW = 32 << 10; // decoded in about 1 ms
  private static final long READ_PAUSE_TICKS = Ticks.PER_MILLISECOND;
  private static final int STATUS_OK = 200;

  private final Vertx vertx;
  private final Scheduler scheduler;
  private final Listener listener;
  private final NodeMetrics metrics;
  private final WatchPosition position;
  private final WatchPacing pacing = new WatchPacing();
  private HttpClient client; // made with the first watch, which is opened after the node serves
  private SocketAddress address;
  private int listsBeingApplied;
  private Runnable whenApplied; // opens the watch that waits for them; null: none does
  private int bytesInARow;
  private HttpClientRequest request; // of the watch that is on; null: none
  // for what must come next: the opening, the first line, another line; null: no watch is on
  private TimerQueue.Timer timeout;
  private int currentWatch; // its number; what another one brings is ignored

  /**
   * Does nothing before {@link #openWatch()}.
   *
   * @param known the list that the node starts with
   */
  public DiscoveryClient(Vertx vertx, SocketAddress address, Scheduler scheduler, Listener listener,
      NodeMetrics metrics, EndpointList known) {
    this.vertx = vertx;
    this.address = address;
    this.scheduler = scheduler;
    this.listener = listener;
    this.metrics = metrics;
    position = new WatchPosition(known);
  }

  /** Opens a watch as soon as the pacing allows; one that is on is ended. */
  public void openWatch() {
    closeWatch();
    int watch = ++currentWatch;
    timeout = scheduler.scheduleAt(pacing.nextOpeningAtTicks(scheduler.now()), () -> open(watch));
  }

  /** Goes on at another address, at once where a watch is on or due. */
  public void changeAddress(SocketAddress newAddress) {
    if (address.equals(newAddress)) return;
    address = newAddress;
    pacing.addressChanged();
    if (timeout != null) openWatch();
  }

  /** Ends the watch without a word to the listener. */
  public void closeWatch() {
    currentWatch++;
    if (timeout != null) timeout.cancel();
    timeout = null;
    whenApplied = null;
    if (request != null) request.reset();
    request = null;
  }

  private void open(int watch) {
    // Guards against a list that is asked for and sent again while it is being applied, since the
    // request could only name the index before it.
    if (listsBeingApplied > 0) {
      whenApplied = () -> open(watch);
      return;
    }
    HttpClient http = client();
    pacing.opened(scheduler.now());
    metrics.add(Metric.WATCHES_OPENED);
    expectWithin(watch, BEGIN_TIMEOUT_TICKS);
    http.request(HttpMethod.GET, address.port(), address.host(), position.requestPath())
        .onComplete(made -> {
          if (made.failed()) end(watch, made.cause());
          else if (watch != currentWatch) made.result().reset();
          else send(made.result(), watch);
        });
  }

  private HttpClient client() {
    if (client == null) {
      client = vertx.createHttpClient(new HttpClientOptions()
          .setConnectTimeout((int) (BEGIN_TIMEOUT_TICKS / Ticks.PER_MILLISECOND))
          .setDecompressionSupported(false).setIdleTimeout(0));
    }
    return client;
  }

  private void send(HttpClientRequest made, int watch) {
    request = made;
    request.exceptionHandler(e -> end(watch, e));
    request.send().onFailure(e -> end(watch, e)).onSuccess(response -> read(response, watch));
  }

  private void read(HttpClientResponse response, int watch) {
    if (response.statusCode() != STATUS_OK) {
      end(watch, new IllegalStateException("status " + response.statusCode()));
      return;
    }
    EndpointListParser parser = new EndpointListParser();
    bytesInARow = 0;
    response.exceptionHandler(e -> end(watch, e));
    response.endHandler(v -> end(watch, null));
    response.handler(received -> {
      if (watch != currentWatch) return;
      parse(parser, received, watch);
      if (watch == currentWatch) pauseAfterARow(response, received.length(), watch);
    });
  }

  /**
   * A list that can't be read ends the watch, so that it is asked for again: its changes would
   * never come otherwise.
   */
  private void parse(EndpointListParser parser, Buffer received, int watch) {
    try {
      // Guards against a line that never ends, whose bytes alone would keep a watch alive that
      // brings nothing: only what is whole counts as a sign of life.
      boolean progress = parser.feed(received, list -> take(list, watch));
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
   * Guards against a long list that holds the event loop up, so that requests wait and time out:
   * between two rows of its bytes the loop does its other work.
   */
  private void pauseAfterARow(HttpClientResponse response, int bytes, int watch) {
    bytesInARow += bytes;
    if (bytesInARow < MAX_BYTES_IN_A_ROW) return;
    bytesInARow = 0;
    response.pause();
    scheduler.scheduleAt(scheduler.now() + READ_PAUSE_TICKS, () -> {
      if (watch == currentWatch) response.resume();
    });
  }

  private void refuse(String reason, int watch) {
    long backoffTicks = pacing.listRefused(scheduler.now());
    metrics.add(Metric.ENDPOINT_LISTS_TOO_LARGE);
    LOG.warn("list_refused retry_s={} reason={}", backoffTicks / Ticks.PER_SECOND, reason);
    end(watch, new IllegalStateException("a list too large"));
  }

  private void take(EndpointList list, int watch) {
    if (watch != currentWatch) return;
    switch (position.advanceTo(list)) {
      case OLD -> metrics.add(Metric.ENDPOINT_LISTS_STALE);
      case UNKNOWN_SERIES -> end(watch,
          new IllegalStateException("a change of series " + list.series() + ", not known yet"));
      case TAKE -> {
        pacing.listTaken();
        metrics.add(Metric.ENDPOINT_LISTS);
        listsBeingApplied++;
        listener.endpointsReceived(list, () -> applied(list));
      }
    }
  }

  private void applied(EndpointList list) {
    position.applied(list);
    listsBeingApplied--;
    if (listsBeingApplied > 0 || whenApplied == null) return;
    Runnable opening = whenApplied;
    whenApplied = null;
    opening.run();
  }

  private void expectWithin(int watch, long ticks) {
    if (timeout != null) timeout.cancel();
    timeout = scheduler.scheduleAt(scheduler.now() + ticks, () -> end(watch, null));
  }

  /** Ends the watch, unless it has ended before; {@code cause} null: silent or closed. */
  private void end(int watch, Throwable cause) {
    if (watch != currentWatch) return;
    metrics.add(Metric.WATCHES_BROKEN);
    LOG.info("watch_ended reason={}", cause == null ? "silent or closed" : cause.toString());
    closeWatch();
    listener.watchEnded();
  }
}
