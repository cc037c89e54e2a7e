package saltlatch.policy;

import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.Ticks;

/**
 * Estimates how slow each app server is compared with the fleet, and detects outliers. Times are in
 * ticks; slowness is a ratio, 1 for a server whose attempts take the expected time.
 *
 * <p>One measure covers slow, pausing, failing and dead servers: the time that the server's
 * attempts took, in multiples of their expected time, divided by the number of attempts that
 * succeeded. Attempts in flight add the time they have taken so far, and a failed attempt adds a
 * fixed time. Silence, that is, no outcome while attempts are in flight, multiplies the slowness.
 * No server is ejected entirely: {@link WeightedRoundRobinLoadBalancer} gives a slow server a
 * smaller part of the requests, down to almost none, and the server recovers as its record decays.
 * An attempt that has been in flight on an outlier for too long is abandoned: {@link LoadShedding}
 * no longer counts it.
 *
 * <p>Guards against servers that accept requests and do not answer them, and against attempts at
 * such servers that use up the limit of attempts in flight, so that other requests are rejected.
 * Does harm to a server that received a few very expensive requests, and if one long request makes
 * a server appear silent.
 */
final class OutlierDetection {
  /**
   * The shortest time over which a server's record decays: it covers tens of attempts and is still
   * recent.
   */
  private static final double MIN_MEMORY_TICKS = 4 * Ticks.PER_SECOND;
  private static final long MAX_MEMORY_TICKS = 60 * Ticks.PER_SECOND;
  /**
   * The shortest time over which a record decays, in turns of the rotation, because a few requests
   * say little about a server.
   */
  private static final double MIN_MEMORY_TURNS = 3;
  /**
   * Attempts of the expected duration that every record starts with, so that the slowness of
   * servers with few attempts is stable.
   */
  private static final double PRIOR_ATTEMPTS = 3;
  /** Time that a failed attempt adds, in expected durations. */
  private static final double FAILURE_EXPECTED_TIMES = 8;
  /** Time without an outcome, in expected durations, after which a server may be pausing. */
  private static final double PAUSE_EXPECTED_TIMES = 2;
  private static final double OUTLIER_SLOWNESS = 3;
  /** Time without an outcome, in expected durations, that makes a server an outlier. */
  private static final double OUTLIER_SILENCE_EXPECTED_TIMES = 5;
  /** Fraction of the latency objective after which an attempt on an outlier is abandoned. */
  private static final double ABANDON_OBJECTIVE_FRACTION = 0.5;

  private double memoryTicks = MIN_MEMORY_TICKS;

  /**
   * Sets the time over which records decay; it is longer if each server receives few requests.
   * Called at each housekeeping.
   *
   * @param effectiveServers servers that accept requests; those that warm up count by their
   *     capacity
   */
  void adjustMemory(double effectiveServers, CompletionRate completions) {
    double turnsTicks = MIN_MEMORY_TURNS * effectiveServers * CompletionRate.WINDOW_TICKS
        / Math.max(1, completions.attemptsInWindow());
    memoryTicks = Math.max(MIN_MEMORY_TICKS, Math.min(MAX_MEMORY_TICKS, turnsTicks));
  }

  /** Records the start of an attempt; must be called before the attempt is counted as in flight. */
  void recordStart(Attempt attempt, long now) {
    ServerState server = attempt.server;
    if (server.inFlight == 0) {
      server.lastResponseAtTicks = now;
    }
    server.inverseExpectedSum += 1 / attempt.expectedTicks;
    server.startOverExpectedSum += now / attempt.expectedTicks;
  }

  /**
   * Records the end of an attempt; must be called when the attempt is no longer counted as in
   * flight.
   */
  void recordEnd(Attempt attempt, AttemptOutcome outcome, long now) {
    ServerState server = attempt.server;
    server.lastResponseAtTicks = now;
    boolean idle = server.inFlight == 0;
    // Set to 0 so that no rounding error remains in the sums when no attempt is in flight.
    server.inverseExpectedSum = idle ? 0 : server.inverseExpectedSum - 1 / attempt.expectedTicks;
    server.startOverExpectedSum = idle ? 0
        : server.startOverExpectedSum - attempt.measuredFromTicks / attempt.expectedTicks;
    decay(server, now);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      server.completed++;
    }
    server.spentTime += spentTime(attempt, outcome, now);
  }

  /**
   * Returns the time that an attempt adds to the record, in expected durations. An attempt that was
   * not sent adds none, because the server did not cause its failure.
   */
  private static double spentTime(Attempt attempt, AttemptOutcome outcome, long now) {
    return switch (outcome) {
      case SUCCEEDED, CANCELLED, TIMED_OUT ->
        (double) (now - attempt.measuredFromTicks) / attempt.expectedTicks;
      case NOT_SENT, WITHDRAWN -> 0;
      case SERVER_ERROR, SERVER_BUSY, CONNECT_FAILED, CONNECTION_LOST -> FAILURE_EXPECTED_TIMES;
    };
  }

  /** Restarts the measurement of the server's silence after this node was stalled. */
  void recordStall(ServerState server, long now) {
    server.lastResponseAtTicks = now;
  }

  /** Excludes the time for which this node was stalled from an attempt in flight. */
  void excludeStall(Attempt attempt, long stallTicks) {
    attempt.server.startOverExpectedSum += stallTicks / attempt.expectedTicks;
  }

  /**
   * Clears the record of a server that has restarted, because it describes the previous instance.
   */
  void forget(ServerState server) {
    server.completed = 0;
    server.spentTime = 0;
  }

  /** Returns the slowness of a server, multiplied if the server may be pausing. */
  double slownessWithSilence(ServerState server, long now) {
    return slowness(server, now) * Math.max(1, silence(server, now) / PAUSE_EXPECTED_TIMES);
  }

  private double slowness(ServerState server, long now) {
    decay(server, now);
    double unfinished = Math.max(0, now * server.inverseExpectedSum - server.startOverExpectedSum);
    return (server.spentTime + unfinished + PRIOR_ATTEMPTS) / (server.completed + PRIOR_ATTEMPTS);
  }

  /**
   * Returns the time since the server's last outcome, in expected durations; 0 if nothing is in
   * flight.
   */
  private static double silence(ServerState server, long now) {
    return server.inFlight == 0 ? 0
        : (now - server.lastResponseAtTicks) * server.inverseExpectedSum / server.inFlight;
  }

  private void decay(ServerState server, long now) {
    double factor = Math.exp((server.decayedAtTicks - now) / memoryTicks);
    server.completed *= factor;
    server.spentTime *= factor;
    server.decayedAtTicks = now;
  }

  /** Returns whether an attempt in flight has taken too long on an outlier. */
  boolean isStuck(Attempt attempt, long latencyObjectiveTicks, long now) {
    if (now - attempt.measuredFromTicks <= ABANDON_OBJECTIVE_FRACTION * latencyObjectiveTicks) {
      return false;
    }
    return slowness(attempt.server, now) >= OUTLIER_SLOWNESS
        || silence(attempt.server, now) >= OUTLIER_SILENCE_EXPECTED_TIMES;
  }
}
