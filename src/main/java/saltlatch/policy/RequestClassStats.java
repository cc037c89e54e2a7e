package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/**
 * What this node has learned of one request class: how long an attempt takes, and which timeout
 * most requests come with. Owned by {@link RequestLifecycle}, written by {@link AttemptTracker} and
 * {@link ClientRetryDetection}. Times are in ticks.
 */
final class RequestClassStats {
  /** Smallest size of a request that times are divided by. */
  private static final double MIN_UNITS = 0.1;
  /** Part of the latency objective that an attempt is first thought to take. */
  private static final double INITIAL_OBJECTIVE_FRACTION = 0.25;
  /** Step of the mean time a unit takes: about 50 attempts. */
  private static final double UNIT_TIME_STEP = 0.02;
  /** Step of the recent time of an attempt: about ten attempts. */
  private static final double RECENT_TIME_STEP = 0.1;
  /** How firmly the usual timeout is held, in requests. */
  private static final long MAX_TIMEOUT_VOTES = 100;

  final GatewaySettings.RequestClass requestClass;
  private double ticksPerUnit;
  private double recentAttemptTicks;
  private long usualTimeoutTicks;
  private long timeoutVotes;

  RequestClassStats(GatewaySettings.RequestClass requestClass) {
    this.requestClass = requestClass;
  }

  /** How long an attempt of a request of this size takes, by its mean time per unit. */
  double expectedTicks(double units) {
    if (ticksPerUnit <= 0) {
      return INITIAL_OBJECTIVE_FRACTION * requestClass.latencyObjectiveTicks();
    }
    return Math.max(1, ticksPerUnit * Math.max(MIN_UNITS, units));
  }

  /** How long the last ten attempts or so took, whatever their outcome. */
  double recentAttemptTicks() {
    return recentAttemptTicks;
  }

  /** An attempt has ended. */
  void recordAttempt(double units, double elapsedTicks, boolean succeeded) {
    if (succeeded) {
      double perUnit = elapsedTicks / Math.max(MIN_UNITS, units);
      ticksPerUnit += (ticksPerUnit <= 0 ? 1 : UNIT_TIME_STEP) * (perUnit - ticksPerUnit);
    }
    recentAttemptTicks += RECENT_TIME_STEP * (elapsedTicks - recentAttemptTicks);
  }

  /**
   * Takes in a request's timeout and says whether it is the usual one: that of most requests, by
   * majority vote. First attempts of clients come with it, their retries with what is left.
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
