package saltlatch.policy;

import saltlatch.api.GatewayEvent.AttemptOutcome;

/**
 * Counts attempts in flight and passes their outcomes to the rules that learn from them:
 * {@link OutlierDetection}, {@link LoadShedding}, {@link SlowStart} and {@link RequestClassStats}.
 * Owns {@link Attempt} and the in-flight counts of servers and customers. Times are in ticks.
 */
final class AttemptTracker {
  private final ServerList servers;
  private final OutlierDetection outliers;
  private final SlowStart slowStart;
  private final LoadShedding shedding;
  private final CompletionRate completions;

  AttemptTracker(ServerList servers, OutlierDetection outliers, SlowStart slowStart,
      LoadShedding shedding, CompletionRate completions) {
    this.servers = servers;
    this.outliers = outliers;
    this.slowStart = slowStart;
    this.shedding = shedding;
    this.completions = completions;
  }

  /** Starts an attempt at the server chosen for the request. */
  Attempt start(RequestState request, long now) {
    double units = request.arrival.estimatedUnits();
    Attempt attempt = new Attempt(request.nextServer, now, request.stats.expectedTicks(units));
    request.attempt = attempt;
    request.lastServer = attempt.server;
    request.attemptCount++;
    request.customer.inFlight++;
    outliers.recordStart(attempt, now);
    attempt.server.inFlight++;
    shedding.recordStart();
    slowStart.recordSent(attempt.server, units);
    return attempt;
  }

  /** Ends the request's attempt in flight. */
  void end(RequestState request, AttemptOutcome outcome, long now) {
    Attempt attempt = request.attempt;
    request.attempt = null;
    request.customer.inFlight--;
    attempt.server.inFlight--;
    if (!attempt.abandoned) {
      shedding.recordEnd();
    }
    outliers.recordEnd(attempt, outcome, now);
    boolean succeeded = outcome == AttemptOutcome.SUCCEEDED;
    if (succeeded) {
      completions.recordSuccess();
    }
    request.stats.recordAttempt(request.arrival.estimatedUnits(),
        (double) (now - attempt.measuredFromTicks), succeeded);
    servers.releaseIfUnused(attempt.server);
    recordExecution(request, attempt, outcome);
  }

  /** Records the first attempt that may have been executed; {@link RetryPolicy} depends on it. */
  private static void recordExecution(RequestState request, Attempt attempt,
      AttemptOutcome outcome) {
    if (!outcome.neverExecuted() && !request.possiblyExecuted()) {
      request.possiblyExecutedAtTicks = attempt.startedAtTicks;
      request.possiblyExecutedOn = attempt.server;
    }
  }

  /** Stops counting an attempt that is stuck on an outlier. Called at each housekeeping. */
  void abandonIfStuck(RequestState request, long now) {
    Attempt attempt = request.attempt;
    if (attempt == null || attempt.abandoned || request.streaming) {
      return;
    }
    if (outliers.isStuck(attempt, request.stats.requestClass.latencyObjectiveTicks(), now)) {
      attempt.abandoned = true;
      shedding.recordEnd();
    }
  }

  /**
   * Excludes the time for which this node was stalled from the measured duration of the request's
   * attempt.
   */
  void excludeStall(RequestState request, long stallTicks) {
    Attempt attempt = request.attempt;
    if (attempt != null) {
      attempt.measuredFromTicks += stallTicks;
      outliers.excludeStall(attempt, stallTicks);
    }
  }
}
