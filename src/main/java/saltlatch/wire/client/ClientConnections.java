package saltlatch.wire.client;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The clients' connections, grouped by state. If the limit is reached, one of them is selected for
 * closing to make room for a new connection. Owned by {@link ClientListener}, which enforces the
 * limit.
 */
final class ClientConnections {
  // have not sent a complete command yet; oldest first
  private final Set<ClientConnection> silent = new LinkedHashSet<>();
  // have sent a command; the least recently used first
  private final Set<ClientConnection> used = new LinkedHashSet<>();
  // being closed by this node; oldest first
  private final Set<ClientConnection> lingering = new LinkedHashSet<>();

  void add(ClientConnection connection) {
    silent.add(connection);
  }

  void commandReceived(ClientConnection connection) {
    silent.remove(connection);
    used.remove(connection);
    used.add(connection);
  }

  void startedLingering(ClientConnection connection) {
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

  /** Returns a copy of the sets of connections not closing, because closing one modifies them. */
  List<ClientConnection> open() {
    List<ClientConnection> open = new ArrayList<>(silent);
    open.addAll(used);
    return open;
  }

  /**
   * Returns the connection to close in favour of a new one: first one that is already lingering and
   * owes no reply; then the least recently used replaceable one, if it was last used at
   * {@code staleTicks} or earlier; then the oldest one that has sent no complete command; then a
   * replaceable one that was used more recently, whose client can send its next request on a new
   * connection. Returns null if all connections have unsent replies.
   */
  ClientConnection selectForClosing(long staleTicks) {
    ClientConnection finished = first(lingering, connection -> connection.owesNoReply(staleTicks));
    if (finished != null) return finished;
    ClientConnection replaceable = first(used, connection -> connection.isReplaceable(staleTicks));
    if (replaceable != null && replaceable.lastUsedTicks() <= staleTicks) return replaceable;
    return silent.isEmpty() ? replaceable : silent.iterator().next();
  }

  /** Returns the first connection that the condition holds for; null if there is none. */
  private static ClientConnection first(Set<ClientConnection> connections,
      Predicate<ClientConnection> condition) {
    return connections.stream().filter(condition).findFirst().orElse(null);
  }
}
