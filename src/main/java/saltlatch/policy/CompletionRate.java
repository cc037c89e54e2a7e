package saltlatch.policy;

import saltlatch.api.Ticks;

/**
 * Counts the attempts that succeed, in a sum that decays over {@link #WINDOW_TICKS}. Owned by
 * {@link PolicyEngine}, which decays it at each housekeeping; {@link AttemptTracker} writes it, and
 * {@link LoadShedding} and {@link OutlierDetection} read it.
 */
final class CompletionRate {
  /** Time constant of the decay: the sum approximates the successes in this time. */
  static final double WINDOW_TICKS = 1 * Ticks.PER_SECOND;

  private double attempts;

  /** Returns the decayed number of attempts that succeeded within the window. */
  double attemptsInWindow() {
    return attempts;
  }

  void recordSuccess() {
    attempts++;
  }

  /** Called once each housekeeping period. */
  void decay() {
    attempts *= Math.exp(-HousekeepingSchedule.PERIOD_TICKS / WINDOW_TICKS);
  }
}
