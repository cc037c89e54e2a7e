package saltlatch.wire.transport;

import saltlatch.state.TimerQueue;

/** A scheduler whose clock stands at 0: nothing times out, and a turn is over at once. */
public final class FixedTimeScheduler implements Scheduler {
  private final TimerQueue timers = new TimerQueue();

  @Override
  public long now() {
    return 0;
  }

  @Override
  public TimerQueue.Timer scheduleAt(long when, Runnable then) {
    return timers.add(when, then);
  }

  @Override
  public void afterCurrentIteration(Runnable then) {
    then.run();
  }

  /** Runs what has been asked for at 0. */
  public void runDue() {
    timers.runDue(0);
  }
}
