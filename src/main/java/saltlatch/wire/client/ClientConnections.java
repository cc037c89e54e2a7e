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

  void add(ClientConnection connection) {
    silent.add(connection);
  }

  void commandReceived(ClientConnection connection) {
    silent.remove(connection);
    used.remove(connection);
    used.add(connection);
  }

  void remove(ClientConnection connection) {
    silent.remove(connection);
    used.remove(connection);
  }

  int size() {
    return silent.size() + used.size();
  }

  /** Returns a copy of the sets, because closing a connection modifies them. */
  List<ClientConnection> open() {
    List<ClientConnection> open = new ArrayList<>(silent);
    open.addAll(used);
    return open;
  }

  /**
   * Closes a connection in favour of a new one: first one that ends behind its
   * last reply; then the least recently used one, if it was last used at {@code staleTicks} or
   * earlier; then the oldest one that has sent no complete command; then one that was used more
   * recently, whose client can send its next request on a new connection. One that turns out to
   * have received commands, or whose client has not got its replies, is passed over.
   *
   * @return false if there is none
   */
  boolean closeOne(long staleTicks) {
    List<ClientConnection> byUse = List.copyOf(used);
    return closeFirst(open(), ClientConnection::hasLostFraming)
        || closeFirst(byUse, connection -> connection.lastUsedTicks() <= staleTicks)
        || closeFirst(List.copyOf(silent), connection -> true)
        || closeFirst(byUse, connection -> connection.lastUsedTicks() > staleTicks);
  }

  private static boolean closeFirst(List<ClientConnection> connections,
      Predicate<ClientConnection> condition) {
    return connections.stream().filter(condition)
        .anyMatch(connection -> connection.tryClose(CloseReason.REPLACED));
  }
}
