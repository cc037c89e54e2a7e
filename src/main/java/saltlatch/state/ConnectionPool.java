package saltlatch.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The idle connections to one app server, reused in last-in, first-out order, so that surplus
 * connections stay idle until they can be closed. Owned by the event loop; times are in ticks.
 *
 * @param <C> the type of a connection, compared by identity
 */
public final class ConnectionPool<C> {
  private record Idle<C>(C connection, long sinceTicks) {}

  private final ArrayDeque<Idle<C>> idle = new ArrayDeque<>();

  /**
   * Removes and returns the most recently used connection that became idle at or before {@code
   * atOrBeforeTicks}; null if there is none.
   */
  public C takeIdleSince(long atOrBeforeTicks) {
    for (Iterator<Idle<C>> latestFirst = idle.descendingIterator(); latestFirst.hasNext();) {
      Idle<C> candidate = latestFirst.next();
      if (candidate.sinceTicks() > atOrBeforeTicks) continue;
      latestFirst.remove();
      return candidate.connection();
    }
    return null;
  }

  /** Adds a connection that has just become idle. */
  public void put(C connection, long nowTicks) {
    idle.addLast(new Idle<>(connection, nowTicks));
  }

  /** Removes a connection, for example after it closed; has no effect if it is not idle. */
  public void remove(C connection) {
    idle.removeIf(entry -> entry.connection() == connection);
  }

  /**
   * Removes and returns the connections that became idle before {@code beforeTicks}, the longest
   * idle first.
   */
  public List<C> removeIdleBefore(long beforeTicks) {
    List<C> removed = new ArrayList<>();
    while (!idle.isEmpty() && idle.peekFirst().sinceTicks() < beforeTicks) {
      removed.add(idle.pollFirst().connection());
    }
    return removed;
  }

  /**
   * Returns when the longest idle connection became idle, in ticks; {@link Long#MAX_VALUE} if there
   * is none.
   */
  public long oldestIdleSinceTicks() {
    return idle.isEmpty() ? Long.MAX_VALUE : idle.peekFirst().sinceTicks();
  }
}
