package saltlatch.wire.client;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import saltlatch.api.Ticks;
import saltlatch.state.ClientRequest;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.SocketCloser;

/**
 * Listens for clients: their commands in, the replies out. Called on the node's event loop; owns
 * the clients' connections, of which there are {@code maxConnections} at most.
 */
public final class ClientListener {
  /** Who handles clients' requests; called on the event loop. */
  public interface Handler {
    /**
     * A request has come. Its final response goes to {@code client}, now or later.
     *
     * @return null if it was answered at once, since it can't be taken
     */
    RequestContext requestArrived(ClientRequest request, RequestContext.ResponseSink client);

    /** The client of a request has closed its connection before the final response. */
    void clientDisconnected(RequestContext request);

    /** A request must get its final response now, since this node stops. */
    void abort(RequestContext request);

    /** The text that the command INFO gets. */
    String infoText();
  }

  /** After so long a connection without a request in flight may be closed. */
  private static final long STALE_AFTER_TICKS = 2 * Ticks.PER_SECOND;
  /** Short enough that a connection without a command ends within 3 s. */
  private static final long SWEEP_INTERVAL_TICKS = Ticks.PER_SECOND / 4;
  private static final int BACKLOG_PER_CONNECTION = 16;

  private final Handler handler;
  private final NodeMetrics metrics;
  private final NetServer server;
  private final int maxConnections;
  private final Scheduler scheduler;
  private final ClientConnections connections = new ClientConnections();
  private int openConnections; // until the client's end has come, so more than are in the set
  private boolean ready;
  private boolean closing;
  private boolean rejecting;

  /** Listens once {@link #listen} is called. */
  public ClientListener(Vertx vertx, Scheduler scheduler, Handler handler, NodeMetrics metrics,
      int maxConnections) {
    this.scheduler = scheduler;
    this.handler = handler;
    this.metrics = metrics;
    this.maxConnections = maxConnections;
    // Guards against many clients that connect at once: past a short backlog the system would drop
    // the connections of others with theirs, which shows as clients that wait a second to connect.
    server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setReuseAddress(true)
        .setAcceptBacklog(BACKLOG_PER_CONNECTION * maxConnections));
    server.connectHandler(this::accept);
    server.exceptionHandler(e -> metrics.add(Metric.CLIENT_CONNECTIONS_BROKEN));
  }

  /** Listens at this address; done once connections are accepted, failed if it is taken. */
  public Future<?> listen(SocketAddress address) {
    sweep();
    return server.listen(address);
  }

  /** The port in use, which the system chose if it was asked for 0. */
  public int port() {
    return server.actualPort();
  }

  /** From now on PING is answered with PONG, which has clients counted on this node. */
  public void markReady() {
    ready = true;
  }

  /**
   * From now on a connection ends right behind a reply. Guards against a request that crosses the
   * end of an idle connection and is lost with it: whoever has just been answered has not sent the
   * next one yet.
   */
  public void closeConnectionsAfterReply() {
    closing = true;
  }

  /**
   * Gives each request in flight its final response, and rejects what still comes, so that idle
   * connections are all that is left. For the last moment before this node's end.
   */
  public void failPendingAndRejectNew() {
    rejecting = true;
    connections.open().forEach(ClientConnection::abandonRequests);
  }

  /** Ends the connections that have no reply pending. */
  public void closeIdleConnections() {
    connections.open().forEach(ClientConnection::closeIfIdle);
  }

  /** How many connections of clients are open, those included whose end is on its way. */
  public int openConnections() {
    return openConnections;
  }

  /** Whether every request that comes is rejected. */
  public boolean isRejecting() {
    return rejecting;
  }

  private void accept(NetSocket socket) {
    metrics.add(Metric.CLIENT_CONNECTIONS_ACCEPTED);
    if (connections.size() >= maxConnections && !closeLeastNeeded()) {
      SocketCloser.closeNow(socket);
      return;
    }
    openConnections++;
    connections.add(new ClientConnection(this, socket));
  }

  /**
   * Guards against connections that send nothing, or have sent a request once and stay: they would
   * use up the limit, and other clients could not connect.
   */
  private boolean closeLeastNeeded() {
    metrics.add(Metric.CLIENT_CONNECTIONS_OVER_LIMIT);
    ClientConnection least = connections.leastNeeded(scheduler.now() - STALE_AFTER_TICKS);
    if (least == null) return false;
    least.close();
    return true;
  }

  /**
   * Guards against connections that send nothing, or half a command and no more, and would stay for
   * good: by the protocol they are ended within 3 s.
   */
  private void sweep() {
    for (ClientConnection connection : connections.open()) {
      connection.closeIfIncompleteSince(scheduler.now() - STALE_AFTER_TICKS);
    }
    scheduler.scheduleAt(scheduler.now() + SWEEP_INTERVAL_TICKS, this::sweep);
  }

  // ---- for the connections

  boolean isReady() {
    return ready;
  }

  boolean isClosing() {
    return closing;
  }

  Handler handler() {
    return handler;
  }

  NodeMetrics metrics() {
    return metrics;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  /** A whole command has come on this connection. */
  void commandReceived(ClientConnection connection) {
    connections.commandReceived(connection);
  }

  /** This side of the connection ends behind its replies. */
  void lingers(ClientConnection connection) {
    connections.lingers(connection);
  }

  /** This side has closed; the end of the connection itself follows. */
  void closed(ClientConnection connection) {
    connections.remove(connection);
  }

  /** The connection is gone, whichever side ended it. */
  void connectionEnded(ClientConnection connection) {
    openConnections--;
    connections.remove(connection);
  }
}
