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
 * The relay's HTTP/1.1 listener. Serves watches, snapshots and metrics, and limits what a client
 * connection may cost.
 */
final class WatcherServer {
  /** Receives the server's events on the event loop. */
  interface Listener {
    /** Called when a watcher requests the changes after {@code since}. */
    void opened(long watcher, Version since);

    /** Called when the socket has accepted everything that was sent to the watcher. */
    void drained(long watcher);

    /** Called when the socket has accepted a part of what was sent to the watcher. */
    void progressed(long watcher);

    /**
     * Called when the watcher's connection has been closed, or its request for a snapshot has been
     * answered or refused.
     */
    void closed(long watcher);
  }

  /**
   * Ms after which a connection is closed if no complete request has arrived, counted from the
   * connection's start or from the end of the previous response.
   */
  static final long IDLE_MS = 5_000;

  /**
   * Connections allowed in addition to the limit on watchers: for idle clients, and for requests
   * for snapshots or metrics.
   */
  static final int SPARE_CONNECTIONS = 64;

  private static final long IDLE_CHECK_INTERVAL_MS = 250;
  private static final int MAX_LINE_BYTES = 1_024; // of a request's first line
  private static final int MAX_HEADER_BYTES = 8 * 1_024; // of a request's headers
  // bounds the kernel memory that a watcher that reads nothing holds
  private static final int SEND_BUFFER_BYTES = 256 * 1_024;
  private static final int BACKLOG = 1_024; // all nodes of a zone may connect at the same time
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;

  private final Vertx vertx;
  private final Context loop;
  private final Listener listener;
  private final LongSupplier clock;
  private final int maxConnections;
  private final Supplier<String> metrics;
  private final HttpServer server;
  private final EncodedMessageCache encodedMessages = new EncodedMessageCache();
  private final Map<HttpConnection, InboundConnection> connections = new HashMap<>();
  // the ms at which each became idle, oldest first
  private final Map<InboundConnection, Long> idleSinceMs = new LinkedHashMap<>();
  private final Map<Long, WatchResponse> responses = new HashMap<>();
  private long lastId;
  private long bytesOutOfRemoved;
  private long connectionsRefused;

  WatcherServer(Vertx vertx, Context loop, int maxWatchers, LongSupplier clock,
      Supplier<String> metrics, Listener listener) {
    this.vertx = vertx;
    this.loop = loop;
    this.listener = listener;
    this.clock = clock;
    this.metrics = metrics;
    this.maxConnections = maxWatchers + SPARE_CONNECTIONS;
    server = vertx.createHttpServer(
        new HttpServerOptions().setHttp2ClearTextEnabled(false).setTcpNoDelay(true)
            .setReuseAddress(true).setAcceptBacklog(BACKLOG).setSendBufferSize(SEND_BUFFER_BYTES)
            .setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES));
    server.connectionHandler(this::accept);
    server.requestHandler(this::handleRequest);
  }

  Future<Void> listen(SocketAddress address) {
    vertx.setPeriodic(IDLE_CHECK_INTERVAL_MS, id -> closeIdle());
    return server.listen(address).mapEmpty();
  }

  int port() {
    return server.actualPort();
  }

  void send(long watcher, Message message) {
    WatchResponse response = responses.get(watcher);
    if (response != null) response.send(message);
  }

  /** Refuses a watcher beyond the limit, with status 503. */
  void refuse(long watcher) {
    WatchResponse response = remove(watcher);
    if (response != null) response.refuse();
  }

  void close(long watcher, boolean graceful) {
    WatchResponse response = remove(watcher);
    if (response != null) response.close(graceful);
  }

  /** Returns the bytes of messages that sockets have accepted since the start. */
  long bytesOut() {
    return bytesOutOfRemoved
        + responses.values().stream().mapToLong(WatchResponse::bytesAccepted).sum();
  }

  /** Returns the bytes of encoded messages held in memory; all watchers share them. */
  long encodedBytes() {
    return encodedMessages.bytes();
  }

  long encodings() {
    return encodedMessages.encodings();
  }

  int connections() {
    return connections.size();
  }

  long connectionsRefused() {
    return connectionsRefused;
  }

  private void accept(HttpConnection httpConnection) {
    InboundConnection connection = new InboundConnection(httpConnection);
    connections.put(httpConnection, connection);
    idleSinceMs.put(connection, clock.getAsLong());
    httpConnection.closeHandler(v -> {
      connections.remove(httpConnection);
      idleSinceMs.remove(connection);
    });
    if (connections.size() > maxConnections) closeOldestIdle();
  }

  /**
   * Closes the connection that has been idle longest, which may be the new one. Otherwise idle
   * connections could use up the limit and keep watchers from connecting.
   */
  private void closeOldestIdle() {
    connectionsRefused++;
    InboundConnection oldest = idleSinceMs.keySet().iterator().next();
    idleSinceMs.remove(oldest);
    oldest.close();
  }

  /** Closes idle connections, oldest first, and stops at the first one that is within its time. */
  private void closeIdle() {
    long latestExpiredMs = clock.getAsLong() - IDLE_MS;
    for (Iterator<Map.Entry<InboundConnection, Long>> entries = idleSinceMs.entrySet()
        .iterator(); entries.hasNext();) {
      Map.Entry<InboundConnection, Long> next = entries.next();
      if (next.getValue() > latestExpiredMs) return;
      entries.remove();
      next.getKey().close();
    }
  }

  private void handleRequest(HttpServerRequest request) {
    InboundConnection connection = connections.get(request.connection());
    idleSinceMs.remove(connection);
    HttpServerResponse response = request.response();
    response.endHandler(v -> responseEnded(request.connection()));
    if (!request.method().equals(HttpMethod.GET)) {
      response.putHeader("allow", "GET").putHeader("connection", "close")
          .setStatusCode(METHOD_NOT_ALLOWED).end();
    } else if (hasBody(request)) {
      response.putHeader("connection", "close").setStatusCode(BAD_REQUEST).end();
    } else if (request.path().equals("/info")) {
      response.putHeader("content-type", "text/plain").end(metrics.get());
    } else if (request.path().equals("/api/targets")) {
      handleTargets(request, connection);
    } else {
      response.setStatusCode(NOT_FOUND).end();
    }
  }

  private void responseEnded(HttpConnection httpConnection) {
    InboundConnection connection = connections.get(httpConnection);
    if (connection == null) return;
    connection.answered();
    idleSinceMs.put(connection, clock.getAsLong());
  }

  private static boolean hasBody(HttpServerRequest request) {
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    return (length != null && !length.equals("0"))
        || request.headers().contains(HttpHeaders.TRANSFER_ENCODING);
  }

  private void handleTargets(HttpServerRequest request, InboundConnection connection) {
    Version since;
    boolean follows = "1".equals(request.getParam("follow"));
    try {
      since = follows ? parseSince(request) : Version.NONE;
    } catch (NumberFormatException e) {
      request.response().setStatusCode(BAD_REQUEST).end();
      return;
    }
    WatchResponse response = new WatchResponse(++lastId, follows, connection, request.response(),
        loop, encodedMessages, responseEvents);
    responses.put(response.id(), response);
    request.response().closeHandler(v -> connectionLost(response));
    listener.opened(response.id(), since);
  }

  private static Version parseSince(HttpServerRequest request) {
    return new Version(parseCount(request.getParam("series")),
        parseCount(request.getParam("since")));
  }

  private static long parseCount(String text) {
    return text == null ? 0 : Long.parseUnsignedLong(text) & Long.MAX_VALUE;
  }

  private final WatchResponse.Listener responseEvents = new WatchResponse.Listener() {
    @Override
    public void drained(WatchResponse response) {
      listener.drained(response.id());
    }

    @Override
    public void progressed(WatchResponse response) {
      listener.progressed(response.id());
    }

    @Override
    public void answered(WatchResponse response) {
      if (remove(response.id()) != null) listener.closed(response.id());
    }
  };

  private void connectionLost(WatchResponse response) {
    response.connectionClosed();
    if (remove(response.id()) != null) listener.closed(response.id());
  }

  private WatchResponse remove(long id) {
    WatchResponse response = responses.remove(id);
    if (response != null) bytesOutOfRemoved += response.bytesAccepted();
    return response;
  }
}
