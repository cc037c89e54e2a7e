package saltlatch.wire.client;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import saltlatch.api.Ticks;
import saltlatch.state.ClientRequest;
import saltlatch.state.NodeMemory;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.InputTurns;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.SocketCloser;
import saltlatch.wire.transport.TcpConnectionInfo;

/**
 * Accepts clients' connections, receives their commands and writes the replies. Called on the
 * node's event loop; owns the clients' connections, at most {@code maxConnections}.
 */
public final class ClientListener {
  /** Handles clients' requests; called on the event loop. */
  public interface Handler {
    /**
     * Called when a request arrives. Its final response is passed to {@code client}, during this
     * call or later.
     *
     * @return the request; null if it was not accepted and its response was passed during this call
     */
    RequestContext requestArrived(ClientRequest request, RequestContext.ResponseSink client);

    /** Called when the client of a request closes its connection before the final response. */
    void clientDisconnected(RequestContext request);

    /** Gives a request its final response now, because this node stops. */
    void abort(RequestContext request);

    /**
     * Returns since when the event loop may not have looked at its connections; {@code nowTicks} if
     * it did not stand still.
     */
    default long unattendedSinceTicks(long nowTicks) {
      return nowTicks;
    }

    /** Returns the text of the reply to the command INFO. */
    String infoText();
  }

  /** The time after which a connection without a request in flight may be closed. */
  private static final long STALE_AFTER_TICKS = 2 * Ticks.PER_SECOND;
  /** Short enough to close a connection without a command within the 3 s of the protocol. */
  private static final long SWEEP_INTERVAL_TICKS = Ticks.PER_SECOND / 4;
  private static final int BACKLOG_PER_CONNECTION = 16;
  /** Open connections are closed by this class, long before. */
  private static final long SHUTDOWN_TIMEOUT_HOURS = 1;
  private static final CloseDecision.State NEW_CONNECTION = new CloseDecision.State(0, false, false,
      false, CloseDecision.Delivery.DELIVERED, true, false);

  private final Handler handler;
  private final NodeMetrics metrics;
  private final NetServer server;
  private final int maxConnections;
  private final NodeMemory memory;
  private final Scheduler scheduler;
  private final InputTurns inputTurns;
  private final ClientConnections connections = new ClientConnections();
  private final ClosedConnectionLog closedConnections;
  // counts a connection until its close handler is called, so it can exceed connections.size()
  private int openConnections;
  private boolean ready;
  private boolean closing;
  private boolean rejecting;
  private boolean accepting = true;
  private long refusalsAtLastSweep; // reservations for replies that were refused until then

  /** Creates the listener; it accepts connections after {@link #listen} is called. */
  public ClientListener(Vertx vertx, Scheduler scheduler, Handler handler, NodeMetrics metrics,
      int maxConnections, NodeMemory memory, InputTurns inputTurns) {
    this.scheduler = scheduler;
    this.handler = handler;
    this.metrics = metrics;
    this.maxConnections = maxConnections;
    this.memory = memory;
    this.inputTurns = inputTurns;
    closedConnections = new ClosedConnectionLog(scheduler, metrics);
    // Guards against many clients that connect at once: if the backlog were short, the operating
    // system would also drop connections of other clients, which would retry after a second.
    server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true)
        .setAcceptBacklog(BACKLOG_PER_CONNECTION * maxConnections));
    server.connectHandler(this::accept);
    server.exceptionHandler(e -> metrics.add(Metric.CLIENT_CONNECTIONS_BROKEN));
  }

  /**
   * Listens at this address. The future succeeds when connections are accepted, and fails if the
   * address is in use.
   */
  public Future<?> listen(SocketAddress address) {
    sweep();
    return server.listen(address);
  }

  /** Returns the port in use, which the operating system chose if the port was given as 0. */
  public int port() {
    return server.actualPort();
  }

  /** Replies to PING with PONG from now on, so that clients use this node. */
  public void markReady() {
    ready = true;
  }

  /**
   * Closes each connection right after a reply from now on, because a client that has just received
   * a reply has not sent its next request yet.
   */
  public void closeConnectionsAfterReply() {
    closing = true;
  }

  /**
   * Aborts all requests in flight and rejects all further requests, so that only idle connections
   * remain. Called just before this node terminates.
   */
  public void failPendingAndRejectNew() {
    rejecting = true;
    inputTurns.removeIterationLimit();
    connections.open().forEach(ClientConnection::abortRequests);
  }

  /** Closes the connections to which no reply is owed and on which no command has arrived. */
  public void closeIdleConnections() {
    for (ClientConnection connection : connections.open())
      connection.tryClose(CloseReason.SHUTDOWN);
  }

  /**
   * Closes the least recently used connections to which no reply is owed and on which no command
   * has arrived, at most this many.
   */
  public void closeIdleConnections(int maxCount) {
    int closed = 0;
    for (ClientConnection connection : connections.open()) {
      if (closed >= maxCount) return;
      if (connection.tryClose(CloseReason.DRAINING)) closed++;
    }
  }

  /** Writes the log lines of the connections that were closed. */
  public void flushLog() {
    closedConnections.flush();
  }

  /** Accepts no further connections; the operating system refuses them, and resets waiting ones. */
  public void stopAccepting() {
    if (!accepting) return;
    accepting = false;
    Future<?> unused = server.shutdown(SHUTDOWN_TIMEOUT_HOURS, TimeUnit.HOURS);
  }

  /** Returns whether {@link #stopAccepting} was not called yet. */
  public boolean isAccepting() {
    return accepting;
  }

  /** Closes all connections at once. Called if some could not be closed in order in time. */
  public void terminateConnections() {
    for (ClientConnection connection : connections.open())
      connection.tryClose(CloseReason.TERMINATION);
  }

  /** Returns the number of open client connections, including those that are being closed. */
  public int openConnections() {
    return openConnections;
  }

  /** Returns whether connections are closed after their replies. */
  public boolean isClosing() {
    return closing;
  }

  /** Returns whether every new request is rejected. */
  public boolean isRejecting() {
    return rejecting;
  }

  private void accept(NetSocket socket) {
    metrics.add(Metric.CLIENT_CONNECTIONS_ACCEPTED);
    if (connections.size() >= maxConnections && !closeForNewConnection()) {
      closeOverLimit(socket);
      return;
    }
    openConnections++;
    connections.add(new ClientConnection(this, socket));
  }

  /**
   * Closes a connection in favour of a new one; returns false if all have pending replies. Guards
   * against connections that send nothing, or that stay open after one request: they would use up
   * the limit, and other clients could not connect.
   */
  private boolean closeForNewConnection() {
    metrics.add(Metric.CLIENT_CONNECTIONS_OVER_LIMIT);
    return connections.closeOne(scheduler.now() - STALE_AFTER_TICKS);
  }

  /** Closes a new connection of which nothing was read. */
  private void closeOverLimit(NetSocket socket) {
    closedConnections.add(CloseReason.OVER_LIMIT, CloseDecision.CLOSE, NEW_CONNECTION, 0,
        TcpConnectionInfo.receivedBytes(socket));
    SocketCloser.closeNow(socket);
  }

  /**
   * Closes connections that send nothing, or only part of a command. Guards against such
   * connections staying open forever: the protocol requires that they are closed within 3 s.
   */
  private void sweep() {
    long staleTicks = scheduler.now() - STALE_AFTER_TICKS;
    for (ClientConnection connection : connections.open())
      connection.closeIfIncompleteSince(staleTicks);
    closeStalledIfRepliesWereRefused(staleTicks);
    scheduler.scheduleAt(scheduler.now() + SWEEP_INTERVAL_TICKS, this::sweep);
  }

  /**
   * Closes the connections whose clients do not read, if their replies have used up the memory for
   * unsent replies. Guards against such clients that hold this memory, so that the replies of all
   * other clients are refused.
   */
  private void closeStalledIfRepliesWereRefused(long staleTicks) {
    long refusals = memory.unsentReplies().refusals();
    if (refusals > refusalsAtLastSweep) {
      for (ClientConnection connection : connections.open())
        connection.closeIfStalledSince(staleTicks);
    }
    refusalsAtLastSweep = refusals;
  }

  // ---- called by the connections

  boolean isReady() {
    return ready;
  }

  Handler handler() {
    return handler;
  }

  NodeMetrics metrics() {
    return metrics;
  }

  NodeMemory memory() {
    return memory;
  }

  ClosedConnectionLog closedConnections() {
    return closedConnections;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  InputTurns inputTurns() {
    return inputTurns;
  }

  /** Called when a complete command has arrived on this connection. */
  void commandReceived(ClientConnection connection) {
    connections.commandReceived(connection);
  }

  /** Called when this side has closed the connection; {@link #connectionEnded} follows. */
  void closed(ClientConnection connection) {
    connections.remove(connection);
  }

  /** Called when the connection has ended, whichever side closed it. */
  void connectionEnded(ClientConnection connection) {
    openConnections--;
    connections.remove(connection);
  }
}
