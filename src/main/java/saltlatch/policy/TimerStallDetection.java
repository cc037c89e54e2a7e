package saltlatch.policy;

/**
 * Detects that this node was suspended or starved of CPU time since it last ran: its housekeeping
 * timer is overdue by more than half of the shortest latency objective. Inputs are the clock and
 * the time for which the timer was set. Times are in ticks.
 *
 * <p>Guards against wrong conclusions from a stall of this node: app servers appear silent and
 * slow, and the counter appears not to answer. The failure shows as a node that, right after a
 * stall, sends almost no requests to any app server or treats a healthy counter as unhealthy.
 * {@link AttemptTracker} excludes the stall from its measurements, and the outcome of a counter
 * call that was sent before the stall does not affect {@link CounterHealth}. The rule does harm if
 * the host's clock jumps forward. StallDetector of the node package applies the same check to the
 * event loop, before any socket is read, to determine the age of requests.
 */
final class TimerStallDetection {
  /** Delay of the timer that indicates a stall, as a fraction of the shortest latency objective. */
  private static final double OVERDUE_OBJECTIVE_FRACTION = 0.5;
  /** Smallest delay of the timer that indicates a stall, in housekeeping periods. */
  private static final long MIN_OVERDUE_PERIODS = 2;

  private final HousekeepingSchedule schedule;
  private final long thresholdTicks;
  private long resumedAtTicks;

  TimerStallDetection(ObjectiveBounds bounds, HousekeepingSchedule schedule) {
    this.schedule = schedule;
    thresholdTicks = Math.max(MIN_OVERDUE_PERIODS * HousekeepingSchedule.PERIOD_TICKS,
        (long) (OVERDUE_OBJECTIVE_FRACTION * bounds.shortestObjectiveTicks()));
  }

  long thresholdTicks() {
    return thresholdTicks;
  }

  /**
   * Returns the duration of the stall that has just ended, or 0 if there was none.
   *
   * @param lastRunAtTicks when the node last ran, in ticks
   */
  long stallTicks(long lastRunAtTicks, long now) {
    long timerDueAtTicks = schedule.timerAtTicks();
    if (timerDueAtTicks <= 0 || now - Math.max(timerDueAtTicks, lastRunAtTicks) <= thresholdTicks) {
      return 0;
    }
    resumedAtTicks = now;
    return now - lastRunAtTicks;
  }

  /** Returns whether an operation in flight that began at this time spans the last stall. */
  boolean spansStall(long beganAtTicks) {
    return beganAtTicks < resumedAtTicks;
  }
}
