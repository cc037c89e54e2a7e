package saltlatch.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The idle connections to one app server. The one used last is taken first, so that connections
 * that are not needed grow old and can be closed. Owned by the event loop; times are ticks.
 *
 * @param <C> the type of a connection, compared by identity
 */
public final class ConnectionPool<C> {
  private record Idle<C>(C connection, long sinceTicks) {}

  private final ArrayDeque<Idle<C>> idle = new ArrayDeque<>();

  /**
   * Takes the connection used last among those that have been idle since {@code atOrBeforeTicks} or
   * longer; null if there is none.
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

  /** Takes in a connection that is idle from now on. */
  public void put(C connection, long nowTicks) {
    idle.addLast(new Idle<>(connection, nowTicks));
  }

  /** Removes a connection, as when it has closed; does nothing if it is not idle. */
  public void remove(C connection) {
    idle.removeIf(entry -> entry.connection() == connection);
  }

  /** Removes and returns the connections idle since before {@code beforeTicks}, oldest first. */
  public List<C> removeIdleBefore(long beforeTicks) {
    List<C> removed = new ArrayList<>();
    while (!idle.isEmpty() && idle.peekFirst().sinceTicks() < beforeTicks) {
      removed.add(idle.pollFirst().connection());
    }
    return removed;
  }

  /** Since when the oldest one is idle, in ticks; {@link Long#MAX_VALUE} if none is. */
  public long oldestIdleSinceTicks() {
    return idle.isEmpty() ? Long.MAX_VALUE : idle.peekFirst().sinceTicks();
  }
}
