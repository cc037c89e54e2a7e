package saltlatch.wire.appserver;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import saltlatch.api.Ticks;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.TcpConnector;

/**
 * Makes the calls to app servers that the policy wants: attempts and health checks. A connection
 * carries one call at a time, since giving up an attempt ends its connection, and a reply must not
 * wait for another's; it is used again once its call was answered. Called on the node's event loop.
 *
 * <p>
 * Owns the servers' addresses, one for each server in the endpoint list, and the connections to
 * them, of which there are {@code maxConnections} at most.
 */
public final class AppServerClient {
  /** Who is notified of the ends of calls; called on the event loop. */
  public interface Listener {
    /** An attempt has ended; called once for each, perhaps before the attempt's start returns. */
    void attemptEnded(RequestContext request, int attempt, int server, AppServerReply reply,
        long elapsedTicks);

    /** A health check has ended; called once for each, perhaps before its start returns. */
    void healthCheckEnded(int server, AppServerReply reply, long elapsedTicks);

    /** Whether an attempt whose connection has just come up may still be sent. */
    boolean mayStartAttempt(RequestContext request, int attempt);
  }

  /** An app server that the endpoint list names. */
  private static final class Server {
    private SocketAddress address;
    private ServerConnections connections; // null: none open, as with most of a long list
  }

  /** 3 ms: a second reply, or noise, behind a reply has come by then. */
  private static final long SETTLING_TICKS = 3 * Ticks.PER_MILLISECOND;
  private static final long SWEEP_INTERVAL_TICKS = Ticks.PER_SECOND / 2;
  /** An idle connection is closed so many intervals before the app server would close it. */
  private static final long IDLE_MARGIN_SWEEPS = 4;

  private final NetClient client;
  private final Scheduler scheduler;
  private final Listener listener;
  private final NodeMetrics metrics;
  private final List<Server> servers = new ArrayList<>(); // by number; null: none has it
  // in the order in which they got a connection; the only ones walked
  private final Set<Server> connectedServers = new LinkedHashSet<>();
  private final long connectTimeoutTicks;
  private final long idleTimeoutTicks;
  private final int maxConnections;
  private int connectionCount;

  /**
   * Starts with no servers.
   *
   * @param connectTimeoutTicks how long a connection may take to come up
   * @param idleTimeoutTicks    after which app servers close an idle connection
   * @param maxConnections      to all app servers together
   */
  public AppServerClient(Vertx vertx, Scheduler scheduler, Listener listener, NodeMetrics metrics,
      long connectTimeoutTicks, long idleTimeoutTicks, int maxConnections) {
    this.scheduler = scheduler;
    this.listener = listener;
    this.metrics = metrics;
    this.maxConnections = maxConnections;
    this.connectTimeoutTicks = connectTimeoutTicks;
    // Guards against an attempt that crosses the app server's close, and ends as a lost connection:
    // this side closes first.
    this.idleTimeoutTicks = Math.max(idleTimeoutTicks / 2,
        idleTimeoutTicks - IDLE_MARGIN_SWEEPS * SWEEP_INTERVAL_TICKS);
    client = TcpConnector.createClient(vertx,
        Math.max(1, connectTimeoutTicks / Ticks.PER_MILLISECOND));
    sweep();
  }

  /** Adds a listed server, or moves it: idle connections to its former address are closed. */
  public void setAddress(int server, SocketAddress address) {
    while (servers.size() <= server) servers.add(null);
    if (servers.get(server) == null) servers.set(server, new Server());
    Server entry = servers.get(server);
    if (entry.address != null && !entry.address.equals(address)) closeIdleConnections(server);
    entry.address = address;
  }

  /**
   * Removes a server with its idle connections.
   *
   * @return whether no call is in flight there, so that the server's number can be given to another
   */
  public boolean remove(int server) {
    Server entry = find(server);
    if (entry == null) return true;
    closeIdleConnections(server);
    if (entry.connections != null) return false;
    servers.set(server, null);
    return true;
  }

  /** Forwards a request to a server, and waits for its reply for so long. */
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

  /** Asks a server for its load report, and waits for the reply for so long. */
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

  /** Gives up an attempt, which ends its connection; nothing if it has ended. */
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
    dropIfUnconnected(server);
  }

  private void dropIfUnconnected(Server server) {
    if (server.connections == null || !server.connections.isEmpty()) return;
    server.connections = null;
    connectedServers.remove(server);
  }

  /**
   * An idle connection to the server, or a new one; null if none may be opened. Guards against a
   * second reply, or noise, behind a reply, which would be taken for that to the next call: a
   * connection rests before it is used again, and what comes meanwhile ends it.
   */
  private AppServerConnection takeConnection(int server) {
    Server entry = find(server);
    if (entry == null) return null;
    AppServerConnection connection = entry.connections == null ? null
        : entry.connections.takeIdleSince(scheduler.now() - SETTLING_TICKS);
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

  /** Makes room for a new connection; false if every one carries a call. */
  private boolean closeOldestIdle() {
    Server oldest = null;
    long oldestSince = Long.MAX_VALUE;
    for (Server server : connectedServers) {
      long since = server.connections.oldestIdleSince();
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

  // ---- for the connections

  boolean mayStartAttempt(RequestContext request, int attempt) {
    return listener.mayStartAttempt(request, attempt);
  }

  /** How long the rest of a reply that has begun may take: as long as a connection to come up. */
  long restOfReplyTimeoutTicks() {
    return connectTimeoutTicks;
  }

  Scheduler scheduler() {
    return scheduler;
  }

  NodeMetrics metrics() {
    return metrics;
  }

  /** A call has ended on this connection, which may be used again or has closed. */
  void callEnded(AppServerConnection connection, boolean reusable, AppServerConnection.Call call,
      AppServerReply reply, long elapsedTicks) {
    Server server = find(connection.server());
    server.connections.removeBusy(connection);
    if (reusable) server.connections.addIdle(connection, scheduler.now());
    dropIfUnconnected(server);
    metrics.add(
        reply.result() == CallResult.ANSWERED ? Metric.ATTEMPTS_SUCCEEDED : Metric.ATTEMPTS_FAILED);
    if (call.isHealthCheck()) {
      listener.healthCheckEnded(connection.server(), reply, elapsedTicks);
    } else {
      listener.attemptEnded(call.request(), call.attempt(), connection.server(), reply,
          elapsedTicks);
    }
  }

  /** This connection has closed; a call on it is ended behind this. */
  void connectionClosed(AppServerConnection connection) {
    connectionCount--;
    Server server = find(connection.server());
    if (server == null || server.connections == null) return;
    server.connections.removeIdle(connection);
    dropIfUnconnected(server);
  }
}
