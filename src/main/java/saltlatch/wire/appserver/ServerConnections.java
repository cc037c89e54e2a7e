package saltlatch.wire.appserver;

import java.util.ArrayList;
import java.util.List;
import saltlatch.state.ConnectionPool;
import saltlatch.state.RequestContext;

/**
 * The open connections to one app server, idle or with a call in flight. Owned by
 * {@link AppServerClient}, which limits their number.
 */
final class ServerConnections {
  private final ConnectionPool<AppServerConnection> idle = new ConnectionPool<>();
  private final List<AppServerConnection> busy = new ArrayList<>();

  boolean isEmpty() {
    return busy.isEmpty() && idle.oldestIdleSinceTicks() == Long.MAX_VALUE;
  }

  /** Takes the most recently used connection idle since this time or earlier; null if none. */
  AppServerConnection takeIdleSince(long ticks) {
    return idle.takeIdleSince(ticks);
  }

  /** Removes and returns the connections that became idle before this time. */
  List<AppServerConnection> takeIdleBefore(long ticks) {
    return idle.removeIdleBefore(ticks);
  }

  /** Returns when the oldest idle one became idle; {@link Long#MAX_VALUE} if none is idle. */
  long oldestIdleSinceTicks() {
    return idle.oldestIdleSinceTicks();
  }

  void addIdle(AppServerConnection connection, long nowTicks) {
    idle.put(connection, nowTicks);
  }

  void removeIdle(AppServerConnection connection) {
    idle.remove(connection);
  }

  void addBusy(AppServerConnection connection) {
    busy.add(connection);
  }

  void removeBusy(AppServerConnection connection) {
    busy.remove(connection);
  }

  /** Returns the connection with this attempt in flight; null if there is none. */
  AppServerConnection findCarrying(RequestContext request, int attempt) {
    for (AppServerConnection connection : busy) {
      if (connection.carries(request, attempt)) return connection;
    }
    return null;
  }
}
