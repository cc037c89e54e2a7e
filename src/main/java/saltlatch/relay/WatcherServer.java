package saltlatch.relay;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.SocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import saltlatch.distribution.Message;
import saltlatch.distribution.Version;

/**
 * The relay's listener: watches, whole lists and figures over HTTP/1.1, and what a connection may
 * cost.
 */
final class WatcherServer {
  /** Gets its events, on the event loop. */
  interface Listener {
    /** A watcher asks for what comes after {@code since}. */
    void opened(long watcher, Version since);

    /** The socket has taken all that was sent to the watcher. */
    void drained(long watcher);

    /** The socket has taken a part of what was sent to the watcher. */
    void progressed(long watcher);

    /** The watcher is gone, or has got the one list that it asked for. */
    void closed(long watcher);
  }

  /** Ms without a whole request after which a connection is closed, also between requests. */
  static final long IDLE_MS = 5_000;

  /**
   * Connections beside those of the watchers: silent ones, and such as ask for lists or figures.
   */
  static final int SPARE_CONNECTIONS = 64;

  private static final long SWEEP_MS = 250; // between looks for idle connections
  private static final int MAX_LINE_BYTES = 1_024; // of a request's first line
  private static final int MAX_HEADER_BYTES = 8 * 1_024; // of a request's headers
  // the system's part of a watcher that reads nothing
  private static final int SEND_BUFFER_BYTES = 256 * 1_024;
  private static final int BACKLOG = 1_024; // a zone of nodes that connects at once
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;

  private final Vertx vertx;
  private final Context loop;
  private final Listener host;
  private final LongSupplier clock;
  private final int maxConnections;
  private final Supplier<String> figures;
  private final HttpServer server;
  private final EncodedMessageCache encoder = new EncodedMessageCache();
  private final Map<HttpConnection, InboundConnection> connections = new HashMap<>();
  // since when (ms), oldest first
  private final Map<InboundConnection, Long> idle = new LinkedHashMap<>();
  private final Map<Long, WatchResponse> watchers = new HashMap<>();
  private long lastId;
  private long bytesOfClosed;
  private long connectionsRefused;

  WatcherServer(Vertx vertx, Context loop, int maxWatchers, LongSupplier clock,
      Supplier<String> figures, Listener host) {
    this.vertx = vertx;
    this.loop = loop;
    this.host = host;
    this.clock = clock;
    this.figures = figures;
    this.maxConnections = maxWatchers + SPARE_CONNECTIONS;
    server = vertx.createHttpServer(
        new HttpServerOptions().setHttp2ClearTextEnabled(false).setTcpNoDelay(true)
            .setReuseAddress(true).setAcceptBacklog(BACKLOG).setSendBufferSize(SEND_BUFFER_BYTES)
            .setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES));
    server.connectionHandler(this::accept);
    server.requestHandler(this::request);
  }

  Future<Void> listen(SocketAddress address) {
    vertx.setPeriodic(SWEEP_MS, t -> closeIdle());
    return server.listen(address).mapEmpty();
  }

  int port() {
    return server.actualPort();
  }

  void send(long watcher, Message message) {
    WatchResponse to = watchers.get(watcher);
    if (to != null) to.send(message);
  }

  /** The watcher is one too many. */
  void refuse(long watcher) {
    WatchResponse to = remove(watcher);
    if (to != null) to.refuse();
  }

  void close(long watcher, boolean politely) {
    WatchResponse to = remove(watcher);
    if (to != null) to.close(politely);
  }

  /** Bytes of messages that sockets have taken. */
  long bytesOut() {
    return bytesOfClosed + watchers.values().stream().mapToLong(WatchResponse::bytesTaken).sum();
  }

  /** Bytes of encoded messages that are held, whatever the number of watchers. */
  long encodedBytes() {
    return encoder.bytes();
  }

  long encodings() {
    return encoder.encodings();
  }

  int connections() {
    return connections.size();
  }

  long connectionsRefused() {
    return connectionsRefused;
  }

  private void accept(HttpConnection made) {
    InboundConnection connection = new InboundConnection(made);
    connections.put(made, connection);
    idle.put(connection, clock.getAsLong());
    made.closeHandler(v -> {
      connections.remove(made);
      idle.remove(connection);
    });
    if (connections.size() > maxConnections) closeOldestIdle();
  }

  /**
   * Guards against silent connections that keep watchers out: the oldest silent one goes, which
   * may be the new one.
   */
  private void closeOldestIdle() {
    connectionsRefused++;
    InboundConnection oldest = idle.keySet().iterator().next();
    idle.remove(oldest);
    oldest.close();
  }

  /** Oldest first, so that the first one in time ends the look. */
  private void closeIdle() {
    long before = clock.getAsLong() - IDLE_MS;
    for (Iterator<Map.Entry<InboundConnection, Long>> all = idle.entrySet().iterator(); all
        .hasNext();) {
      Map.Entry<InboundConnection, Long> next = all.next();
      if (next.getValue() > before) return;
      all.remove();
      next.getKey().close();
    }
  }

  private void request(HttpServerRequest request) {
    InboundConnection connection = connections.get(request.connection());
    idle.remove(connection);
    HttpServerResponse response = request.response();
    response.endHandler(v -> answered(request.connection()));
    if (!request.method().equals(HttpMethod.GET)) {
      response.putHeader("allow", "GET").putHeader("connection", "close")
          .setStatusCode(METHOD_NOT_ALLOWED).end();
    } else if (hasBody(request)) {
      response.putHeader("connection", "close").setStatusCode(BAD_REQUEST).end();
    } else if (request.path().equals("/info")) {
      response.putHeader("content-type", "text/plain").end(figures.get());
    } else if (request.path().equals("/api/targets")) {
      targets(request, connection);
    } else {
      response.setStatusCode(NOT_FOUND).end();
    }
  }

  private void answered(HttpConnection made) {
    InboundConnection connection = connections.get(made);
    if (connection == null) return;
    connection.answered();
    idle.put(connection, clock.getAsLong());
  }

  private static boolean hasBody(HttpServerRequest request) {
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    return (length != null && !length.equals("0"))
        || request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
  }

  private void targets(HttpServerRequest request, InboundConnection connection) {
    Version since;
    boolean follows = "1".equals(request.getParam("follow"));
    try {
      since = follows ? since(request) : Version.NONE;
    } catch (NumberFormatException e) {
      request.response().setStatusCode(BAD_REQUEST).end();
      return;
    }
    WatchResponse watcher = new WatchResponse(++lastId, follows, connection, request.response(),
        loop, encoder, events);
    watchers.put(watcher.id(), watcher);
    request.response().closeHandler(v -> lost(watcher));
    host.opened(watcher.id(), since);
  }

  private static Version since(HttpServerRequest request) {
    return new Version(count(request.getParam("series")), count(request.getParam("since")));
  }

  private static long count(String text) {
    return text == null ? 0 : Long.parseUnsignedLong(text) & Long.MAX_VALUE;
  }

  private final WatchResponse.Listener events = new WatchResponse.Listener() {
    @Override
    public void drained(WatchResponse watcher) {
      host.drained(watcher.id());
    }

    @Override
    public void progressed(WatchResponse watcher) {
      host.progressed(watcher.id());
    }

    @Override
    public void answered(WatchResponse watcher) {
      if (remove(watcher.id()) != null) host.closed(watcher.id());
    }
  };

  private void lost(WatchResponse watcher) {
    watcher.connectionClosed();
    if (remove(watcher.id()) != null) host.closed(watcher.id());
  }

  private WatchResponse remove(long id) {
    WatchResponse watcher = watchers.remove(id);
    if (watcher != null) bytesOfClosed += watcher.bytesTaken();
    return watcher;
  }
}
