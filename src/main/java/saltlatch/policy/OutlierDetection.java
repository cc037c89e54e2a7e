package saltlatch.policy;

import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.Ticks;

/**
 * How slow an app server is against the fleet, and whether it is an outlier. Times are in ticks;
 * slowness is a ratio, 1 for a server that takes the time expected.
 *
 * <p>One judgement serves slow, pausing, failing and dead servers alike: the time its attempts took
 * in expected times, over the attempts that succeeded. What is in flight counts as unfinished, a
 * failed attempt as time lost. Silence (no outcome at all while attempts are in flight) multiplies
 * the slowness. Nothing is ejected outright: {@link WeightedRoundRobinLoadBalancer} gives a slow
 * server a smaller part, down to almost none, and it comes back as its record decays. An attempt
 * that has long been in flight on an outlier is abandoned: {@link LoadShedding} counts it no more.
 *
 * <p>Guards against servers that take requests and don't answer them, and against their attempts
 * using up what may be in flight, so that the rest is rejected. Harms a server that was given a few
 * very costly requests, and where one long request makes a server look silent.
 */
final class OutlierDetection {
  /** A server's record decays over this time at least: tens of attempts, yet fresh. */
  private static final double MIN_MEMORY_TICKS = 4 * Ticks.PER_SECOND;
  private static final long MAX_MEMORY_TICKS = 60 * Ticks.PER_SECOND;
  /** Turns of the rotation that a record lasts at least: a few requests say little. */
  private static final double MIN_MEMORY_TURNS = 3;
  /** Attempts of the expected time that every server starts from; steadies those with few. */
  private static final double PRIOR_ATTEMPTS = 3;
  /** Expected times that a failed attempt counts as. */
  private static final double FAILURE_EXPECTED_TIMES = 8;
  /** Expected times without an outcome from which on a server may be pausing. */
  private static final double PAUSE_EXPECTED_TIMES = 2;
  private static final double OUTLIER_SLOWNESS = 3;
  /** Expected times without an outcome that make an outlier. */
  private static final double OUTLIER_SILENCE_EXPECTED_TIMES = 5;
  /** Part of the latency objective after which an attempt on an outlier is abandoned. */
  private static final double ABANDON_OBJECTIVE_FRACTION = 0.5;

  private double memoryTicks = MIN_MEMORY_TICKS;

  /**
   * Sets how long records last: where each server gets few requests, a few turns of the rotation.
   * Called at each housekeeping.
   *
   * @param effectiveServers servers that take requests, those warming up counted in part
   */
  void adjustMemory(double effectiveServers, CompletionRate completions) {
    double turnsTicks = MIN_MEMORY_TURNS * effectiveServers * CompletionRate.WINDOW_TICKS
        / Math.max(1, completions.attemptsInWindow());
    memoryTicks = Math.max(MIN_MEMORY_TICKS, Math.min(MAX_MEMORY_TICKS, turnsTicks));
  }

  /** An attempt starts; called before it is counted as in flight. */
  void recordStart(Attempt attempt, long now) {
    ServerState server = attempt.server;
    if (server.inFlight == 0) {
      server.lastResponseAtTicks = now;
    }
    server.inverseExpectedSum += 1 / attempt.expectedTicks;
    server.startOverExpectedSum += now / attempt.expectedTicks;
  }

  /** An attempt has ended; called once it is no longer counted as in flight. */
  void recordEnd(Attempt attempt, AttemptOutcome outcome, long now) {
    ServerState server = attempt.server;
    server.lastResponseAtTicks = now;
    boolean idle = server.inFlight == 0;
    // Set to 0, so that no rounding error of the sums outlives the attempts.
    server.inverseExpectedSum = idle ? 0 : server.inverseExpectedSum - 1 / attempt.expectedTicks;
    server.startOverExpectedSum = idle ? 0
        : server.startOverExpectedSum - attempt.measuredFromTicks / attempt.expectedTicks;
    decay(server, now);
    if (outcome == AttemptOutcome.SUCCEEDED) {
      server.completed++;
    }
    server.spentTime += spentTime(attempt, outcome, now);
  }

  /** What an attempt counts as, in expected times; the server isn't to blame for one not sent. */
  private static double spentTime(Attempt attempt, AttemptOutcome outcome, long now) {
    return switch (outcome) {
      case SUCCEEDED, CANCELLED, TIMED_OUT ->
        (double) (now - attempt.measuredFromTicks) / attempt.expectedTicks;
      case NOT_SENT, WITHDRAWN -> 0;
      case SERVER_ERROR, SERVER_BUSY, CONNECT_FAILED, CONNECTION_LOST -> FAILURE_EXPECTED_TIMES;
    };
  }

  /** This node was stalled: the server's silence begins anew. */
  void recordStall(ServerState server, long now) {
    server.lastResponseAtTicks = now;
  }

  /** This node was stalled: takes the stall out of an attempt in flight. */
  void excludeStall(Attempt attempt, long stallTicks) {
    attempt.server.startOverExpectedSum += stallTicks / attempt.expectedTicks;
  }

  /** The server has started anew: what its predecessor showed says nothing of it. */
  void forget(ServerState server) {
    server.completed = 0;
    server.spentTime = 0;
  }

  /** Time over attempts that succeeded, in expected times; multiplied where it may be pausing. */
  double slownessWithSilence(ServerState server, long now) {
    return slowness(server, now) * Math.max(1, silence(server, now) / PAUSE_EXPECTED_TIMES);
  }

  private double slowness(ServerState server, long now) {
    decay(server, now);
    double unfinished = Math.max(0, now * server.inverseExpectedSum - server.startOverExpectedSum);
    return (server.spentTime + unfinished + PRIOR_ATTEMPTS) / (server.completed + PRIOR_ATTEMPTS);
  }

  /** Expected times since the server's last outcome, while something is in flight there. */
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

  /** Whether an attempt in flight has taken too long on an outlier. */
  boolean isStuck(Attempt attempt, long latencyObjectiveTicks, long now) {
    if (now - attempt.measuredFromTicks <= ABANDON_OBJECTIVE_FRACTION * latencyObjectiveTicks) {
      return false;
    }
    return slowness(attempt.server, now) >= OUTLIER_SLOWNESS
        || silence(attempt.server, now) >= OUTLIER_SILENCE_EXPECTED_TIMES;
  }
}
