package saltlatch.state;

import java.util.PriorityQueue;

/**
 * Timers in order of their due time and, at the same time, of their creation. Has no clock and no
 * thread: its owner, the event loop, asks when the next timer is due and runs what is. Times are
 * ticks.
 */
public final class TimerQueue {
  /** A timer that runs its action once, unless it is cancelled before. */
  public static final class Timer {
    private final long dueTicks;
    private final long sequence;
    private Runnable action; // null: ran or cancelled

    private Timer(long dueTicks, long sequence, Runnable action) {
      this.dueTicks = dueTicks;
      this.sequence = sequence;
      this.action = action;
    }

    /** The action does not run any more; no effect once it has. */
    public void cancel() {
      action = null;
    }
  }

  private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> a.dueTicks != b.dueTicks
      ? Long.compare(a.dueTicks, b.dueTicks) : Long.compare(a.sequence, b.sequence));
  private long nextSequence;

  /** Adds a timer; one whose time is past is due at once. */
  public Timer add(long dueTicks, Runnable action) {
    Timer timer = new Timer(dueTicks, nextSequence++, action);
    timers.add(timer);
    return timer;
  }

  /** When the next timer is due; {@link Long#MAX_VALUE} if there is none. */
  public long nextDueTicks() {
    while (!timers.isEmpty() && timers.peek().action == null) timers.poll();
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueTicks;
  }

  /**
   * Runs the timers that are due. One that an action adds waits for the next call, so that a timer
   * that renews itself with no delay cannot hold the loop.
   */
  public void runDue(long nowTicks) {
    long firstNewSequence = nextSequence;
    while (nextDueTicks() <= nowTicks && timers.peek().sequence < firstNewSequence) {
      Timer timer = timers.poll();
      Runnable action = timer.action;
      timer.action = null;
      action.run();
    }
  }
}
