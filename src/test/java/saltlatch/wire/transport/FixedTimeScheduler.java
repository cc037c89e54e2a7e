package saltlatch.wire.transport;

import saltlatch.state.TimerQueue;

/**
 * A scheduler whose clock is fixed at 0, so that no timeout expires. Actions that wait for the end
 * of the iteration run at once.
 */
public final class FixedTimeScheduler implements Scheduler {
  private final TimerQueue timers = new TimerQueue();

  @Override
  public long now() {
    return 0;
  }

  @Override
  public TimerQueue.Timer scheduleAt(long dueTicks, Runnable action) {
    return timers.add(dueTicks, action);
  }

  @Override
  public void afterCurrentIteration(Runnable action) {
    action.run();
  }

  /** Runs the actions that are scheduled at time 0. */
  public void runDue() {
    timers.runDue(0);
  }
}
