package saltlatch.wire.appserver;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.api.Ticks;
import saltlatch.state.MemoryBudget;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.TcpConnector;

/**
 * Makes the calls to app servers that the policy requires: attempts and health checks. A connection
 * carries one call at a time, because cancelling an attempt closes its connection and a reply must
 * not wait for an earlier one. A connection is reused after its call was answered. Called on the
 * node's event loop.
 *
 * <p>
 * Owns the servers' addresses, one for each server in the endpoint list, and the connections to
 * them, at most {@code maxConnections}.
 */
public final class AppServerClient {
  /** Receives the results of calls; called on the event loop. */
  public interface Listener {
    /** Called once when an attempt ends, possibly before {@link #startAttempt} returns. */
    void attemptEnded(RequestContext request, int attempt, int server, AppServerReply reply,
        long elapsedTicks);

    /** Called once when a health check ends, possibly before {@link #checkHealth} returns. */
    void healthCheckEnded(int server, AppServerReply reply, long elapsedTicks);

    /** Returns whether an attempt whose connection was just established may still be sent. */
    boolean mayStartAttempt(RequestContext request, int attempt);
  }

  /** An app server of the endpoint list; most servers of a long list have no connection. */
  private static final class Server {
    private SocketAddress address;
    private ServerConnections connections; // null if no connection is open
  }

  /** 3 ms, within which unexpected bytes after a reply arrive. */
  private static final long REUSE_DELAY_TICKS = 3 * Ticks.PER_MILLISECOND;
  private static final long SWEEP_INTERVAL_TICKS = Ticks.PER_SECOND / 2;
  /** The number of sweeps by which this side closes an idle connection before the app server. */
  private static final long IDLE_MARGIN_SWEEPS = 4;

  private final NetClient client;
  private final Scheduler scheduler;
  private final Listener listener;
  private final NodeMetrics metrics;
  private final MemoryBudget incompleteReplies;
  private final List<Server> servers = new ArrayList<>(); // by number; null if it is unused
  // servers with open connections, in the order of connecting; only these are iterated over
  private final Set<Server> connectedServers = new LinkedHashSet<>();
  private final long connectTimeoutTicks;
  private final long idleTimeoutTicks;
  private final int maxConnections;
  private int connectionCount;

  /**
   * Creates a client without servers.
   *
   * @param connectTimeoutTicks the time within which a connection must be established
   * @param idleTimeoutTicks    the time after which app servers close an idle connection
   * @param maxConnections      the limit of connections to all app servers together
   * @param incompleteReplies   the memory for replies whose last byte has not arrived
   */
  public AppServerClient(Vertx vertx, Scheduler scheduler, Listener listener, NodeMetrics metrics,
      long connectTimeoutTicks, long idleTimeoutTicks, int maxConnections,
      MemoryBudget incompleteReplies) {
    this.scheduler = scheduler;
    this.listener = listener;
    this.metrics = metrics;
    this.maxConnections = maxConnections;
    this.incompleteReplies = incompleteReplies;
    this.connectTimeoutTicks = connectTimeoutTicks;
    // This side closes first. Guards against an attempt that is sent while the app server closes
    // the connection, which would end as a lost connection.
    this.idleTimeoutTicks = Math.max(idleTimeoutTicks / 2,
        idleTimeoutTicks - IDLE_MARGIN_SWEEPS * SWEEP_INTERVAL_TICKS);
    client = TcpConnector.createClient(vertx,
        Math.max(1, connectTimeoutTicks / Ticks.PER_MILLISECOND));
    sweep();
  }

  /** Sets a server's address; if it changes, idle connections to the old address are closed. */
  public void setAddress(int server, SocketAddress address) {
    while (servers.size() <= server) servers.add(null);
    if (servers.get(server) == null) servers.set(server, new Server());
    Server entry = servers.get(server);
    if (entry.address != null && !entry.address.equals(address)) closeIdleConnections(server);
    entry.address = address;
  }

  /**
   * Closes the idle connections to a server, and removes the server if no call to it is in flight.
   *
   * @return whether no call is in flight, so that the number can be assigned to another server
   */
  public boolean remove(int server) {
    Server entry = find(server);
    if (entry == null) return true;
    closeIdleConnections(server);
    if (entry.connections != null) return false;
    servers.set(server, null);
    return true;
  }

  /** Forwards a request to a server and waits for the reply until the timeout expires. */
  public void startAttempt(RequestContext request, int attempt, int server, long timeoutTicks) {
    metrics.add(Metric.ATTEMPTS_STARTED);
    AppServerConnection connection = takeConnection(server);
    if (connection == null) {
      listener.attemptEnded(request, attempt, server, noConnectionFree(), 0);
      return;
    }
    connection.send(new AppServerConnection.Call(request, attempt,
        timeLeftMs -> AppServerCommandEncoder.forward(request.request().command(), timeLeftMs),
        timeoutTicks));
  }

  /** Requests a server's load report and waits for the reply until the timeout expires. */
  public void checkHealth(int server, long timeoutTicks) {
    metrics.add(Metric.HEALTH_CHECKS);
    AppServerConnection connection = takeConnection(server);
    if (connection == null) {
      listener.healthCheckEnded(server, noConnectionFree(), 0);
      return;
    }
    connection.send(AppServerConnection.Call
        .healthCheck(timeLeftMs -> AppServerCommandEncoder.healthCheck(), timeoutTicks));
  }

  private static AppServerReply noConnectionFree() {
    return AppServerReply.withoutValue(CallResult.NO_CONNECTION_FREE);
  }

  /** Cancels an attempt and closes its connection; does nothing if the attempt has ended. */
  public void cancelAttempt(RequestContext request, int attempt) {
    for (Server server : connectedServers) {
      AppServerConnection connection = server.connections.findCarrying(request, attempt);
      if (connection != null) {
        connection.end(AppServerReply.withoutValue(CallResult.CANCELLED));
        return;
      }
    }
  }

  /** Closes the connections to a server that carry no call. */
  public void closeIdleConnections(int server) {
    Server entry = find(server);
    if (entry != null && entry.connections != null) closeIdleBefore(entry, Long.MAX_VALUE);
  }

  private Server find(int server) {
    return server >= 0 && server < servers.size() ? servers.get(server) : null;
  }

  private void closeIdleBefore(Server server, long ticks) {
    server.connections.takeIdleBefore(ticks).forEach(AppServerConnection::close);
    releaseIfUnconnected(server);
  }

  private void releaseIfUnconnected(Server server) {
    if (server.connections == null || !server.connections.isEmpty()) return;
    server.connections = null;
    connectedServers.remove(server);
  }

  /**
   * Returns an idle connection to the server, or a new one; null if none may be opened. A
   * connection is reused only after a delay, and bytes that arrive during the delay close it.
   * Guards against treating unexpected bytes after a reply, such as a second reply, as the next
   * call's reply.
   */
  private AppServerConnection takeConnection(int server) {
    Server entry = find(server);
    if (entry == null) return null;
    AppServerConnection connection = entry.connections == null ? null
        : entry.connections.takeIdleSince(scheduler.now() - REUSE_DELAY_TICKS);
    if (connection == null) {
      if (connectionCount >= maxConnections && !closeOldestIdle()) return null;
      connectionCount++;
      metrics.add(Metric.SERVER_CONNECTIONS_OPENED);
      connection = new AppServerConnection(this, server);
      connection.open(client, entry.address);
    }
    if (entry.connections == null) entry.connections = new ServerConnections();
    connectedServers.add(entry);
    entry.connections.addBusy(connection);
    return connection;
  }

  /** Closes the connection that is idle for longest; returns false if every one carries a call. */
  private boolean closeOldestIdle() {
    Server oldest = null;
    long oldestSince = Long.MAX_VALUE;
    for (Server server : connectedServers) {
      long since = server.connections.oldestIdleSinceTicks();
      if (since < oldestSince) {
        oldest = server;
        oldestSince = since;
      }
    }
    if (oldest == null) return false;
    closeIdleBefore(oldest, oldestSince + 1);
    return true;
  }

  private void sweep() {
    for (Server server : List.copyOf(connectedServers)) {
      if (server.connections != null) closeIdleBefore(server, scheduler.now() - idleTimeoutTicks);
    }
    scheduler.scheduleAt(scheduler.now() + SWEEP_INTERVAL_TICKS, this::sweep);
  }

  // ---- called by the connections

  boolean mayStartAttempt(RequestContext request, int attempt) {
    return listener.mayStartAttempt(request, attempt);
  }

  /** Returns the time limit for the rest of a started reply: the same as for connecting. */
  long restOfReplyTimeoutTicks() {
    return connectTimeoutTicks;
  }

  MemoryBudget incompleteReplies() {
    return incompleteReplies;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  NodeMetrics metrics() {
    return metrics;
  }

  /** Called when a call has ended; the connection is closed unless it is reusable. */
  void callEnded(AppServerConnection connection, boolean reusable, AppServerConnection.Call call,
      AppServerReply reply, long elapsedTicks) {
    Server server = find(connection.server());
    server.connections.removeBusy(connection);
    if (reusable) server.connections.addIdle(connection, scheduler.now());
    releaseIfUnconnected(server);
    if (reply.result() == CallResult.REPLY_OVER_MEMORY_LIMIT)
      metrics.add(Metric.SERVER_REPLIES_OVER_MEMORY_LIMIT);
    metrics.add(
        reply.result() == CallResult.ANSWERED ? Metric.ATTEMPTS_SUCCEEDED : Metric.ATTEMPTS_FAILED);
    if (call.isHealthCheck()) {
      listener.healthCheckEnded(connection.server(), reply, elapsedTicks);
    } else {
      listener.attemptEnded(call.request(), call.attempt(), connection.server(), reply,
          elapsedTicks);
    }
  }

  /** Called when a connection has closed, before {@link #callEnded} for a call in flight on it. */
  void connectionClosed(AppServerConnection connection) {
    connectionCount--;
    Server server = find(connection.server());
    if (server == null || server.connections == null) return;
    server.connections.removeIdle(connection);
    releaseIfUnconnected(server);
  }
}
