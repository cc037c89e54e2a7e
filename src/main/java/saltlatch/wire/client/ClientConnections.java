package saltlatch.wire.client;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The clients' connections by what can be expected of each, in the order in which they would be
 * closed for a new one. Owned by {@link ClientListener}, which sets their bound.
 */
final class ClientConnections {
  // no whole command yet, oldest first
  private final Set<ClientConnection> silent = new LinkedHashSet<>();
  // have sent a command, the last to do so last
  private final Set<ClientConnection> used = new LinkedHashSet<>();
  // this side has ended, oldest first
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  void add(ClientConnection connection) {
    silent.add(connection);
  }

  void commandReceived(ClientConnection connection) {
    silent.remove(connection);
    used.remove(connection);
    used.add(connection);
  }

  void lingers(ClientConnection connection) {
    remove(connection);
    lingering.add(connection);
  }

  void remove(ClientConnection connection) {
    silent.remove(connection);
    used.remove(connection);
    lingering.remove(connection);
  }

  int size() {
    return silent.size() + used.size() + lingering.size();
  }

  /** Those that have not ended, in an own list, since closing one removes it from here. */
  List<ClientConnection> open() {
    List<ClientConnection> open = new ArrayList<>(silent);
    open.addAll(used);
    return open;
  }

  /**
   * The one to close for a new one: one that is ending anyway; then the one idle for longest, if
   * since {@code staleTicks} or before; then the oldest that has sent nothing; then one that is
   * idle just now, whose client may send its next request on a new connection. Null if all have
   * replies pending.
   */
  ClientConnection leastNeeded(long staleTicks) {
    if (!lingering.isEmpty()) return lingering.iterator().next();
    ClientConnection idle = used.stream().filter(ClientConnection::isIdle).findFirst().orElse(null);
    if (idle != null && idle.usedAtTicks() <= staleTicks) return idle;
    return silent.isEmpty() ? idle : silent.iterator().next();
  }
}
