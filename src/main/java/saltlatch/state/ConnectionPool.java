package saltlatch.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * An app srv's idle connections; the one used last is taken first, so that the others can grow old.
 */
public final class ConnectionPool<L> {
  private record Idle<L>(L link, long since) {}

  private final ArrayDeque<Idle<L>> idle = new ArrayDeque<>();

  /** One that has been idle since then or before. */
  public L take(long since) {
    for (Iterator<Idle<L>> i = idle.descendingIterator(); i.hasNext();) {
      Idle<L> one = i.next();
      if (one.since() > since) continue;
      i.remove();
      return one.link();
    }
    return null;
  }

  public void put(L link, long now) {
    idle.addLast(new Idle<>(link, now));
  }

  public void remove(L link) {
    idle.removeIf(i -> i.link() == link);
  }

  /** Takes out what has been idle since before then. */
  public List<L> takeOlder(long than) {
    List<L> old = new ArrayList<>();
    while (!idle.isEmpty() && idle.peekFirst().since() < than) old.add(idle.pollFirst().link());
    return old;
  }

  /** The time since which its oldest one is idle. */
  public long oldest() {
    return idle.isEmpty() ? Long.MAX_VALUE : idle.peekFirst().since();
  }
}
