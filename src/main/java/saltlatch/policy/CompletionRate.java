package saltlatch.policy;

import saltlatch.api.Ticks;

/**
 * How many attempts succeed: a sum that decays over {@link #WINDOW_TICKS}. Owned by
 * {@link PolicyEngine}, which decays it at each housekeeping; written by {@link AttemptTracker},
 * read by {@link LoadShedding} and {@link OutlierDetection}.
 */
final class CompletionRate {
  /** Over this time the sum decays, so over this time it is a rate. */
  static final double WINDOW_TICKS = 1 * Ticks.PER_SECOND;

  private double attempts;

  /** Attempts that succeeded within the window, by the decaying sum. */
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
