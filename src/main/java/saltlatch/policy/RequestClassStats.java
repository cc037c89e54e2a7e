package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/**
 * Learned statistics of one request class: how long an attempt takes, and the client timeout of
 * most requests. Owned by {@link RequestLifecycle}, written by {@link AttemptTracker} and
 * {@link ClientRetryDetection}. Times are in ticks.
 */
final class RequestClassStats {
  /** Smallest size of a request, in units, that is used to compute times per unit. */
  private static final double MIN_UNITS = 0.1;
  /** Initial estimate of an attempt's duration, as a fraction of the latency objective. */
  private static final double INITIAL_OBJECTIVE_FRACTION = 0.25;
  /** Smoothing factor of the mean time per unit: averages over about 50 attempts. */
  private static final double UNIT_TIME_STEP = 0.02;
  /** Smoothing factor of the recent attempt duration: averages over about ten attempts. */
  private static final double RECENT_TIME_STEP = 0.1;
  /**
   * Largest vote count of the usual timeout: number of requests with other timeouts after which it
   * is replaced.
   */
  private static final long MAX_TIMEOUT_VOTES = 100;

  final GatewaySettings.RequestClass requestClass;
  private double ticksPerUnit;
  private double recentAttemptTicks;
  private long usualTimeoutTicks;
  private long timeoutVotes;

  RequestClassStats(GatewaySettings.RequestClass requestClass) {
    this.requestClass = requestClass;
  }

  /** Returns the expected duration of an attempt of this size, by the mean time per unit. */
  double expectedTicks(double units) {
    if (ticksPerUnit <= 0) {
      return INITIAL_OBJECTIVE_FRACTION * requestClass.latencyObjectiveTicks();
    }
    return Math.max(1, ticksPerUnit * Math.max(MIN_UNITS, units));
  }

  /** Returns the mean duration of about the last ten attempts, whatever their outcome. */
  double recentAttemptTicks() {
    return recentAttemptTicks;
  }

  /** Updates the statistics after an attempt has ended. */
  void recordAttempt(double units, double elapsedTicks, boolean succeeded) {
    if (succeeded) {
      double attemptTicksPerUnit = elapsedTicks / Math.max(MIN_UNITS, units);
      ticksPerUnit += (ticksPerUnit <= 0 ? 1 : UNIT_TIME_STEP)
          * (attemptTicksPerUnit - ticksPerUnit);
    }
    recentAttemptTicks += RECENT_TIME_STEP * (elapsedTicks - recentAttemptTicks);
  }

  /**
   * Records a request's timeout and returns whether it is the usual one, the timeout of most
   * requests by majority vote. A client's first request has the usual timeout, and its retries
   * have the time that remains of it.
   */
  boolean recordTimeout(long timeoutTicks, long resolutionTicks) {
    if (timeoutVotes == 0) {
      usualTimeoutTicks = timeoutTicks;
    }
    boolean usual = Math.abs(timeoutTicks - usualTimeoutTicks) <= resolutionTicks;
    timeoutVotes = usual ? Math.min(MAX_TIMEOUT_VOTES, timeoutVotes + 1) : timeoutVotes - 1;
    return usual;
  }
}
