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
 * A stand-in for discovery at size, HTTP/1.1 after the protocol page: {@code GET /api/targets}
 * gives the whole list, {@code ?follow=1&since=N} a watch whose first line is what changed after N,
 * or the whole list where the log does not reach so far; an empty line every 2 s while nothing
 * changes. One encoded buffer for each change and for each whole list, shared by all watchers. A
 * watcher that does not read is told nothing more until it does, and then what changed meanwhile:
 * what is held for it is bounded.
 *
 * <p>For the laboratory: {@code GET /lab/figures} tells what was sent, and
 * {@code POST /lab/rate?per_second=R} sets how many changes come a second. One event loop owns all
 * of it.
 */
public final class Source {
  // an empty line this often on a quiet watch, as the protocol page says
  static final long KEEP_ALIVE_MS = 2_000;
  private static final double NANOS = 1e9; // in a second
  private static final double MILLIS = 1e3;
  // above it a watcher waits until it has read half
  private static final int WATCHER_QUEUE_BYTES = 262_144;
  private static final Buffer EMPTY_LINE = Buffer.buffer("\n");

  private final Vertx vertx;
  private final WireBytes bytes = new WireBytes();
  private final SourceList list;
  private final Writer puts; // null: times of changes are not kept
  private final Set<Watcher> watchers = new LinkedHashSet<>();
  private HttpServer server;
  private double perSecond;
  private long rateFrom; // ns: when the rate was set
  private long changesAtRate; // since then
  private long nextChange = -1; // its timer; below 0: none
  private Buffer whole; // of the index below
  private long wholeIndex;
  private Buffer newest; // the last change alone
  private long connections;
  private long opened;
  private long snapshots;
  private long changeLines;
  private long emptyLines;

  /** One follower: everything up to its position was written to it. */
  private final class Watcher {
    final HttpServerResponse response;
    long position;
    boolean quiet = true; // nothing was written since the last empty line was due

    Watcher(HttpServerResponse response) {
      this.response = response;
    }

    /** Writes what it does not have yet, unless its queue is full. */
    void advance(Buffer change, long from) {
      if (position == list.index() || response.writeQueueFull()) return;
      quiet = false;
      if (!list.hasChangesSince(position)) {
        snapshots++;
        response.write(wholeLine());
      } else {
        changeLines++;
        response.write(position == from ? change : line(list.changesAfter(position)));
      }
      position = list.index();
    }
  }

  /**
   * @param list  what is told
   * @param rate  changes a second; 0: none
   * @param puts  where the time of each change is written, a JSON line each; null: nowhere
   */
  public Source(SourceList list, double rate, Writer puts) {
    this.list = list;
    this.puts = puts;
    perSecond = rate;
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
        .setInternalBlockingPoolSize(1).setPreferNativeTransport(true));
  }

  /** Listens; the result is the port. */
  public Future<Integer> start(String host, int port) {
    server = vertx
        .createHttpServer(new HttpServerOptions().setHost(host).setPort(port)
            .setAcceptBacklog(4_096).setTcpNoDelay(true).setIdleTimeout(0))
        .requestHandler(this::request).connectionHandler(connection -> {
          connections++;
          bytes.count(connection);
        });
    return server.listen().map(up -> {
      rate(perSecond);
      vertx.setPeriodic(KEEP_ALIVE_MS, t -> keepAlive());
      return up.actualPort();
    });
  }

  /** Ends all watches. */
  public Future<Void> stop() {
    return vertx.close();
  }

  private void rate(double changesPerSecond) {
    perSecond = changesPerSecond;
    rateFrom = System.nanoTime();
    changesAtRate = 0;
    if (nextChange >= 0) vertx.cancelTimer(nextChange);
    nextChange = -1;
    if (perSecond > 0) armNextChange();
  }

  /** One timer for the next change alone: a look each ms would cost more than the changes. */
  private void armNextChange() {
    double dueMs = (changesAtRate + 1) / perSecond * MILLIS;
    double pastMs = (System.nanoTime() - rateFrom) / NANOS * MILLIS;
    nextChange = vertx.setTimer(Math.max(1, Math.round(dueMs - pastMs)), timer -> {
      changeWhatIsDue();
      armNextChange();
    });
  }

  private void changeWhatIsDue() {
    double due = (System.nanoTime() - rateFrom) / NANOS * perSecond;
    while (changesAtRate < Math.floor(due)) {
      changesAtRate++;
      change();
    }
  }

  private void change() {
    long from = list.index();
    long index = list.nextChange();
    long now = System.nanoTime();
    newest = line(list.changesAfter(from));
    put(index, now);
    for (Watcher watcher : List.copyOf(watchers)) watcher.advance(newest, from);
  }

  private void put(long index, long now) {
    if (puts == null) return;
    try {
      puts.write("{\"index\":" + index + ",\"put_ns\":" + now + "}\n");
      puts.flush();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void keepAlive() {
    for (Watcher watcher : List.copyOf(watchers)) {
      if (watcher.quiet && !watcher.response.writeQueueFull()) {
        emptyLines++;
        watcher.response.write(EMPTY_LINE);
      }
      watcher.quiet = true;
    }
  }

  /**
   * Outside of the heap, since writing a buffer of the heap copies it for each watcher; the
   * collector frees it.
   */
  private static Buffer line(String text) {
    byte[] bytes = (text + "\n").getBytes(StandardCharsets.UTF_8);
    ByteBuffer direct = ByteBuffer.allocateDirect(bytes.length).put(bytes).flip();
    return BufferInternal.buffer(Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(direct)));
  }

  private Buffer wholeLine() {
    if (whole == null || wholeIndex != list.index()) {
      whole = line(list.snapshot());
      wholeIndex = list.index();
    }
    return whole;
  }

  private void request(HttpServerRequest request) {
    HttpServerResponse response = request.response().putHeader("content-type", "application/json");
    if (request.path().startsWith("/lab/")) bytes.leaveOut(request.connection());
    switch (request.path()) {
      case "/api/targets" -> {
        if ("1".equals(request.getParam("follow"))) follow(request);
        else {
          snapshots++;
          response.end(wholeLine());
        }
      }
      case "/lab/figures" -> response.end(figures() + "\n");
      case "/lab/rate" -> takeRate(request);
      default -> response.setStatusCode(404).end();
    }
  }

  private void takeRate(HttpServerRequest request) {
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
    response.exceptionHandler(e -> watchers.remove(watcher));
    response.closeHandler(v -> watchers.remove(watcher));
    response.drainHandler(v -> watcher.advance(newest, list.index() - 1));
    if (since == list.index()) {
      changeLines++;
      response.write(line(list.changesAfter(since))); // its first line says that nothing changed
    } else {
      watcher.advance(newest, list.index() - 1);
    }
  }

  /**
   * What was sent so far, as JSON; bytes are those of all connections but the ones that ask for
   * this.
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
    figures.addProperty("bytes_out", bytes.out());
    figures.addProperty("connections", connections);
    figures.addProperty("pid", ProcessHandle.current().pid());
    figures.addProperty("loop_cpu_ns",
        ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime());
    return figures;
  }

  /** Watchers that are not told everything yet: they read too slowly. */
  private long behind() {
    return watchers.stream().filter(watcher -> watcher.position != list.index()).count();
  }
}
