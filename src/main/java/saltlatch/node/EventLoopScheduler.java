package saltlatch.node;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import saltlatch.api.Ticks;
import saltlatch.state.TimerQueue;
import saltlatch.wire.transport.Scheduler;

/**
 * The event loop's clock and timers. All timers of the node share one timer of the loop, set for
 * the earliest that is not cancelled, so that cancelled ones do not wake the loop. Owned by the
 * event loop, which calls everything here.
 */
final class EventLoopScheduler implements Scheduler {
  private static final long NOT_ARMED = Long.MAX_VALUE;

  private final Vertx vertx;
  private final Context loop;
  private final Runnable beforeTimers;
  private final NodeClock clock = new NodeClock();
  private final TimerQueue timers = new TimerQueue();
  private long wakeUpTicks = NOT_ARMED;
  private long loopTimerId;
  private boolean stopped;

  /** {@code beforeTimers} runs each time the loop's timer fires, in front of what is due. */
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
   * Runs {@code action} behind all that this turn of the loop brings. Closes are reported by tasks
   * of their own behind what was read in the turn: a second hop is behind these too.
   */
  @Override
  public void afterCurrentIteration(Runnable action) {
    loop.runOnContext(first -> loop.runOnContext(second -> action.run()));
  }

  /** For when the loop's timer is set, in ticks; {@link Long#MAX_VALUE} if it is not. */
  long wakeUpTicks() {
    return wakeUpTicks;
  }

  /** Sets the loop's timer for the earliest timer, which may have been cancelled meanwhile. */
  void updateWakeUp() {
    if (stopped) return;
    long nextDueTicks = timers.nextDueTicks();
    if (nextDueTicks == wakeUpTicks) return;
    if (wakeUpTicks != NOT_ARMED) vertx.cancelTimer(loopTimerId);
    wakeUpTicks = nextDueTicks;
    if (nextDueTicks == NOT_ARMED) return;
    loopTimerId = vertx.setTimer(delayMs(nextDueTicks), id -> fire());
  }

  /** Rounded up: a loop that wakes too early would have to sleep again. */
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

  /** Ends all timers, where the loop itself lives on. */
  void stop() {
    stopped = true;
    if (wakeUpTicks != NOT_ARMED) vertx.cancelTimer(loopTimerId);
  }
}
