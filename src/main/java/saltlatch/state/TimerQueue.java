package saltlatch.state;

import java.util.PriorityQueue;

/**
 * Timers ordered by due time; timers with the same due time are ordered by creation. The queue has
 * no clock and no thread: the event loop, which owns it, calls {@link #nextDueTicks} and {@link
 * #runDue}. Times are in ticks.
 */
public final class TimerQueue {
  /** A timer that runs its action once, unless it is cancelled first. */
  public static final class Timer {
    private final long dueTicks;
    private final long sequence;
    private Runnable action; // null once it ran or was cancelled

    private Timer(long dueTicks, long sequence, Runnable action) {
      this.dueTicks = dueTicks;
      this.sequence = sequence;
      this.action = action;
    }

    /** Cancels the timer; has no effect once its action has started. */
    public void cancel() {
      action = null;
    }
  }

  private final PriorityQueue<Timer> timers = new PriorityQueue<>((a, b) -> a.dueTicks != b.dueTicks
      ? Long.compare(a.dueTicks, b.dueTicks) : Long.compare(a.sequence, b.sequence));
  private long nextSequence;

  /** Adds a timer, which is due immediately if its due time is in the past. */
  public Timer add(long dueTicks, Runnable action) {
    Timer timer = new Timer(dueTicks, nextSequence++, action);
    timers.add(timer);
    return timer;
  }

  /** Returns when the next timer is due; {@link Long#MAX_VALUE} if there is none. */
  public long nextDueTicks() {
    while (!timers.isEmpty() && timers.peek().action == null) timers.poll();
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueTicks;
  }

  /**
   * Runs the timers that are due. A timer that an action adds runs in the next call at the
   * earliest, so that a timer that re-adds itself without delay cannot block the event loop.
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
