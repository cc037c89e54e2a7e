package saltlatch.state;

import java.util.PriorityQueue;

/**
 * What falls due, in order of time and, within one instant, of asking. Times are tenths of a ms.
 */
public final class TimerQueue {
  /** One thing that falls due, unless it is dropped before. */
  public static final class Timer {
    private final long at;
    private final long order;
    private Runnable then;

    private Timer(long at, long order, Runnable then) {
      this.at = at;
      this.order = order;
      this.then = then;
    }

    public void cancel() {
      then = null;
    }
  }

  private final PriorityQueue<Timer> queue = new PriorityQueue<>(
      (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private long next;

  public Timer add(long at, Runnable then) {
    Timer t = new Timer(at, next++, then);
    queue.add(t);
    return t;
  }

  /** When the next one falls due; never: the largest long. */
  public long earliest() {
    while (!queue.isEmpty() && queue.peek().then == null) queue.poll();
    return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at;
  }

  /** Runs what has fallen due; what is asked for meanwhile waits for the next time. */
  public void run(long now) {
    long upTo = next;
    while (earliest() <= now && queue.peek().order < upTo) {
      Timer t = queue.poll();
      Runnable then = t.then;
      t.then = null;
      then.run();
    }
  }
}
