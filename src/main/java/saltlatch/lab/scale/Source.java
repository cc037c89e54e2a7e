package saltlatch.lab.scale;

import com.google.gson.JsonObject;
import io.netty.buffer.Unpooled;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.internal.buffer.BufferInternal;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.lang.management.ManagementFactory;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A simulated discovery server for large lists and many watchers, which implements the protocol
 * page over HTTP/1.1. {@code GET /api/targets} returns the complete list. With
 * {@code ?follow=1&since=N} it opens a watch whose first line contains the changes after N, or the
 * complete list if the log does not go back that far. A watch receives an empty line every 2 s if
 * nothing changes. Each change and each complete list is encoded once into a buffer that all
 * watchers share. A watcher that does not read is sent nothing more until it does, and then
 * receives the changes since, which bounds the bytes that are queued for it.
 *
 * <p>For the laboratory, {@code GET /lab/figures} returns totals of what was sent, and
 * {@code POST /lab/rate?per_second=R} sets the number of changes a second. All state is confined to
 * one event loop.
 */
public final class Source {
  // interval of empty lines on a watch without changes, as the protocol page states
  static final long KEEP_ALIVE_MS = 2_000;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MS_PER_SECOND = 1e3;
  // above it, writes to a watcher pause until its queue has drained to half
  private static final int WATCHER_QUEUE_BYTES = 262_144;
  private static final Buffer EMPTY_LINE = Buffer.buffer("\n");

  private final Vertx vertx;
  private final WireBytes wireBytes = new WireBytes();
  private final SourceList list;
  private final Writer puts; // times of changes, or null to record none
  private final Set<Watcher> watchers = new LinkedHashSet<>();
  private HttpServer server;
  private double perSecond;
  private long rateSetAtNanos;
  private long changesSinceRateSet;
  private long nextChangeTimer = -1; // negative if none is set
  private Buffer snapshotLine; // at snapshotIndex
  private long snapshotIndex;
  private Buffer newestChange; // line with the last change only
  private long connections;
  private long opened;
  private long snapshots;
  private long changeLines;
  private long emptyLines;

  /** One watch, to which all changes up to {@code position} were written. */
  private final class Watcher {
    final HttpServerResponse response;
    long position;
    boolean idle = true; // nothing was written since the last empty line was due

    Watcher(HttpServerResponse response) {
      this.response = response;
    }

    /**
     * Writes the changes after {@code position}, unless the write queue is full. {@code change} is
     * the line for a watcher at index {@code from}.
     */
    void advance(Buffer change, long from) {
      if (position == list.index() || response.writeQueueFull()) return;
      idle = false;
      if (!list.hasChangesSince(position)) {
        snapshots++;
        response.write(snapshotLine());
      } else {
        changeLines++;
        response.write(position == from ? change : line(list.changesAfter(position)));
      }
      position = list.index();
    }
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @param list  endpoint list that is served and changed
   * @param rate  changes a second, or 0 for none
   * @param puts  receives a JSON line with the time of each change; null to record none
   */
  public Source(SourceList list, double rate, Writer puts) {
    this.list = list;
    this.puts = puts;
    perSecond = rate;
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1).setPreferNativeTransport(true));
  }

  /** Starts to listen; the result is the port. */
  public Future<Integer> start(String host, int port) {
    server = vertx
        .createHttpServer(new HttpServerOptions().setHost(host).setPort(port)
            .setAcceptBacklog(4_096).setTcpNoDelay(true).setIdleTimeout(0))
        .requestHandler(this::request).connectionHandler(connection -> {
          connections++;
          wireBytes.count(connection);
        });
    return server.listen().map(listening -> {
      rate(perSecond);
      vertx.setPeriodic(KEEP_ALIVE_MS, timer -> keepAlive());
      return listening.actualPort();
    });
  }

  /** Stops listening and closes all watches. */
  public Future<Void> stop() {
    return vertx.close();
  }

  private void rate(double changesPerSecond) {
    perSecond = changesPerSecond;
    rateSetAtNanos = System.nanoTime();
    changesSinceRateSet = 0;
    if (nextChangeTimer >= 0) vertx.cancelTimer(nextChangeTimer);
    nextChangeTimer = -1;
    if (perSecond > 0) armNextChange();
  }

  /**
   * Sets one timer for the next change; a periodic check each ms would cost more CPU time than the
   * changes.
   */
  private void armNextChange() {
    double dueMs = (changesSinceRateSet + 1) / perSecond * MS_PER_SECOND;
    double elapsedMs = (System.nanoTime() - rateSetAtNanos) / NANOS_PER_SECOND * MS_PER_SECOND;
    nextChangeTimer = vertx.setTimer(Math.max(1, Math.round(dueMs - elapsedMs)), timer -> {
      applyDueChanges();
      armNextChange();
    });
  }

  private void applyDueChanges() {
    double dueChanges = (System.nanoTime() - rateSetAtNanos) / NANOS_PER_SECOND * perSecond;
    while (changesSinceRateSet < Math.floor(dueChanges)) {
      changesSinceRateSet++;
      applyChange();
    }
  }

  private void applyChange() {
    long from = list.index();
    long index = list.nextChange();
    long nowNanos = System.nanoTime();
    newestChange = line(list.changesAfter(from));
    recordChange(index, nowNanos);
    for (Watcher watcher : List.copyOf(watchers)) watcher.advance(newestChange, from);
  }

  private void recordChange(long index, long nowNanos) {
    if (puts == null) return;
    try {
      puts.write("{\"index\":" + index + ",\"put_ns\":" + nowNanos + "}\n");
      puts.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void keepAlive() {
    for (Watcher watcher : List.copyOf(watchers)) {
      if (watcher.idle && !watcher.response.writeQueueFull()) {
        emptyLines++;
        watcher.response.write(EMPTY_LINE);
      }
      watcher.idle = true;
    }
  }

  /**
   * Encodes a line into direct memory, since a write of a heap buffer copies it for each watcher.
   * The garbage collector frees the buffer.
   */
  private static Buffer line(String text) {
    byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
    ByteBuffer direct = ByteBuffer.allocateDirect(bytes.length).put(bytes).flip();
    return BufferInternal.buffer(Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(direct)));
  }

  private Buffer snapshotLine() {
    if (snapshotLine == null || snapshotIndex != list.index()) {
      snapshotLine = line(list.snapshot());
      snapshotIndex = list.index();
    }
    return snapshotLine;
  }

  private void request(HttpServerRequest request) {
    HttpServerResponse response = request.response().putHeader("content-type", "application/json");
    if (request.path().startsWith("/lab/")) wireBytes.leaveOut(request.connection());
    switch (request.path()) {
      case "/api/targets" -> {
        if ("1".equals(request.getParam("follow"))) follow(request);
        else {
          snapshots++;
          response.end(snapshotLine());
        }
      }
      case "/lab/figures" -> response.end(figures() + "\n");
      case "/lab/rate" -> setRate(request);
      default -> response.setStatusCode(404).end();
    }
  }

  private void setRate(HttpServerRequest request) {
    try {
      rate(Double.parseDouble(request.getParam("per_second", "")));
      request.response().end("{\"index\":" + list.index() + "}\n");
    } catch (NumberFormatException e) {
      request.response().setStatusCode(400).end("per_second: " + e.getMessage() + "\n");
    }
  }

  private void follow(HttpServerRequest request) {
    long since;
    try {
      since = Long.parseLong(request.getParam("since", "0"));
    } catch (NumberFormatException e) {
      request.response().setStatusCode(400).end("since: " + e.getMessage() + "\n");
      return;
    }
    HttpServerResponse response = request.response().setChunked(true)
        .setWriteQueueMaxSize(WATCHER_QUEUE_BYTES);
    opened++;
    Watcher watcher = new Watcher(response);
    watcher.position = since;
    watchers.add(watcher);
    response.exceptionHandler(error -> watchers.remove(watcher));
    response.closeHandler(ignored -> watchers.remove(watcher));
    response.drainHandler(ignored -> watcher.advance(newestChange, list.index() - 1));
    if (since == list.index()) {
      changeLines++;
      // the first line of a watch is sent even if nothing has changed
      response.write(line(list.changesAfter(since)));
    } else {
      watcher.advance(newestChange, list.index() - 1);
    }
  }

  /**
   * Returns totals of what was sent so far, as JSON. The bytes exclude connections with requests
   * below {@code /lab/}.
   */
  private JsonObject figures() {
    JsonObject figures = new JsonObject();
    figures.addProperty("index", list.index());
    figures.addProperty("entries", list.entries());
    figures.addProperty("watchers", watchers.size());
    figures.addProperty("behind", behind());
    figures.addProperty("opened", opened);
    figures.addProperty("snapshots", snapshots);
    figures.addProperty("change_lines", changeLines);
    figures.addProperty("empty_lines", emptyLines);
    figures.addProperty("bytes_out", wireBytes.out());
    figures.addProperty("connections", connections);
    figures.addProperty("pid", ProcessHandle.current().pid());
    figures.addProperty("loop_cpu_ns",
        ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime());
    return figures;
  }

  /** Returns the number of watchers to which some changes were not written yet. */
  private long behind() {
    return watchers.stream().filter(watcher -> watcher.position != list.index()).count();
  }
}
