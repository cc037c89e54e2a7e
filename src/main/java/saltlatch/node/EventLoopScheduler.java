package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import saltlatch.api.Ticks;
import saltlatch.state.TimerQueue;
import saltlatch.wire.transport.Scheduler;

/**
 * The event loop's clock and timers. All timers of the node share one Vert.x timer, which is set to
 * the earliest timer that is not cancelled, so that cancelled timers do not wake the event loop.
 * Owned by the event loop; all methods are called on it.
 */
final class EventLoopScheduler implements Scheduler {
  private static final long NOT_ARMED = Long.MAX_VALUE;

  private final Vertx vertx;
  private final Context loop;
  private final Runnable beforeTimers;
  private final NodeClock clock = new NodeClock();
  private final TimerQueue timers = new TimerQueue();
  private long wakeUpTicks = NOT_ARMED;
  private long vertxTimerId;
  private boolean stopped;

  /** Creates the scheduler; {@code beforeTimers} runs before the due timers at each wake-up. */
  EventLoopScheduler(Vertx vertx, Context loop, Runnable beforeTimers) {
    this.vertx = vertx;
    this.loop = loop;
    this.beforeTimers = beforeTimers;
  }

  @Override
  public long now() {
    return clock.nowTicks();
  }

  @Override
  public TimerQueue.Timer scheduleAt(long dueTicks, Runnable action) {
    TimerQueue.Timer timer = timers.add(dueTicks, action);
    if (dueTicks < wakeUpTicks) updateWakeUp();
    return timer;
  }

  /**
   * Runs {@code action} after all events of this event loop iteration. Closed connections are
   * reported in separate tasks after the data read in the iteration, so {@code action} is queued
   * twice to run after those tasks as well.
   */
  @Override
  public void afterCurrentIteration(Runnable action) {
    loop.runOnContext(first -> loop.runOnContext(second -> action.run()));
  }

  /** Returns when the Vert.x timer is due, in ticks, or {@link Long#MAX_VALUE} if it is not set. */
  long wakeUpTicks() {
    return wakeUpTicks;
  }

  /** Sets the Vert.x timer to the earliest timer that is not cancelled. */
  void updateWakeUp() {
    if (stopped) return;
    long nextDueTicks = timers.nextDueTicks();
    if (nextDueTicks == wakeUpTicks) return;
    if (wakeUpTicks != NOT_ARMED) vertx.cancelTimer(vertxTimerId);
    wakeUpTicks = nextDueTicks;
    if (nextDueTicks == NOT_ARMED) return;
    vertxTimerId = vertx.setTimer(delayMs(nextDueTicks), id -> fire());
  }

  /** Rounds up, since an early wake-up would need a second timer. */
  private long delayMs(long dueTicks) {
    long delayTicks = dueTicks - clock.nowTicks();
    return Math.max(1, (delayTicks + Ticks.PER_MILLISECOND - 1) / Ticks.PER_MILLISECOND);
  }

  private void fire() {
    beforeTimers.run();
    wakeUpTicks = NOT_ARMED;
    timers.runDue(clock.nowTicks());
    updateWakeUp();
  }

  /** Stops all timers while the event loop keeps running. */
  void stop() {
    stopped = true;
    if (wakeUpTicks != NOT_ARMED) vertx.cancelTimer(vertxTimerId);
  }
}
