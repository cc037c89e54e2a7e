package saltlatch.policy;

/**
 * Whether this node was stopped or starved since it last ran: its housekeeping timer is overdue by
 * more than half of the shortest latency objective. Inputs: the clock and the timer that was asked
 * for. Times are in ticks.
 *
 * <p>Guards against beliefs that the node's own absence made: app servers silent and slow, a
 * counter without answers. They show as a node that sends all app servers next to nothing, or calls
 * a healthy counter unhealthy, right after a stall. {@link AttemptTracker} takes the stall out of
 * what it measures, and the outcome of a counter call from before the stall judges the counter
 * neither way. Harms where the host's clock leaps. The node's own StallDetector asks the same of
 * the event loop, before anything is read, to give requests their age.
 */
final class TimerStallDetection {
  /** Part of the shortest latency objective by which an overdue timer shows a stall. */
  private static final double OVERDUE_OBJECTIVE_FRACTION = 0.5;
  /** Housekeeping periods by which the timer is overdue at least. */
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
   * For how long the node was stalled, 0 if it wasn't.
   *
   * @param lastRunAt when it last ran
   */
  long stallTicks(long lastRunAt, long now) {
    long timerAt = schedule.timerAtTicks();
    if (timerAt <= 0 || now - Math.max(timerAt, lastRunAt) <= thresholdTicks) {
      return 0;
    }
    resumedAtTicks = now;
    return now - lastRunAt;
  }

  /** Whether what began at that time was in flight during the last stall. */
  boolean spansStall(long beganAt) {
    return beganAt < resumedAtTicks;
  }
}
