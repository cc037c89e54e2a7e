package saltlatch.policy;

/**
 * Whether a request is rejected because the app servers are under pressure. Inputs: attempts in
 * flight, attempts that succeed a second, the servers' number, the request's latency objective and
 * priority weight. Times are in ticks.
 *
 * <p>By Little's law what is in flight over what completes a second is how long an attempt takes
 * now. If that is more than a part of the latency objective (or of what the client still waits, if
 * that is less), the request is rejected at once, one of low priority sooner, a late retry sooner
 * still. A few attempts for each warm server are always free; while attempts are quick, some more
 * are allowed, since requests meet by chance. Both are shares of what all nodes may do together.
 *
 * <p>Guards against queues that outlast the latency objective: overload, dead or slow servers,
 * retry storms. Harms where servers answer in bursts.
 */
final class LoadShedding {
  /** Part of the latency objective that attempts may take on average. */
  private static final double WAIT_OBJECTIVE_FRACTION = 0.3;
  /** Part of the wait that late retries don't get. */
  private static final double LATE_RETRY_RESERVE = 0.35;
  /** Attempts in flight of all nodes for each warm server that are free of pressure. */
  private static final double FREE_ATTEMPTS_PER_SERVER = 3;
  /** More attempts in flight of one node, while attempts are quick. */
  private static final double MAX_HEADROOM_ATTEMPTS = 4;
  /** The same for each warm server, over all nodes. */
  private static final double MAX_HEADROOM_ATTEMPTS_PER_SERVER = 2;
  /** Waits that recent attempts take when nothing is left of the headroom. */
  private static final double HEADROOM_END_WAITS = 2;
  /** How much a request's priority stretches the wait. */
  private static final double PRIORITY_STRETCH = 0.3;
  /** Step of the mean priority: about 100 requests. */
  private static final double MEAN_PRIORITY_STEP = 0.01;

  private final FleetSize fleet;
  private final ServerList servers;
  private final CompletionRate completions;
  private int inFlight;
  private double meanPriority;

  LoadShedding(FleetSize fleet, ServerList servers, CompletionRate completions) {
    this.fleet = fleet;
    this.servers = servers;
    this.completions = completions;
  }

  /** An attempt is in flight. */
  void recordStart() {
    inFlight++;
  }

  /** An attempt has ended or is abandoned; called once an attempt. */
  void recordEnd() {
    inFlight--;
  }

  /** Whether a request is rejected; takes its priority into the mean. */
  boolean isOverloaded(RequestState request, long now) {
    double fraction = WAIT_OBJECTIVE_FRACTION * (request.lateRetry ? 1 - LATE_RETRY_RESERVE : 1)
        * priorityStretch(request);
    double freeAttempts = FREE_ATTEMPTS_PER_SERVER * servers.effectiveServers() / fleet.nodes();
    double waitTicks = fraction
        * Math.min(request.stats.requestClass.latencyObjectiveTicks(), request.deadlineTicks - now);
    double completing = waitTicks * completions.attemptsInWindow() / CompletionRate.WINDOW_TICKS;
    return inFlight >= Math.max(freeAttempts, completing) + headroom(request, waitTicks);
  }

  /** 1 for a request of mean priority. */
  private double priorityStretch(RequestState request) {
    double priority = request.customer.plan.priorityWeight()
        * request.stats.requestClass.priorityWeight();
    meanPriority += (meanPriority == 0 ? 1 : MEAN_PRIORITY_STEP) * (priority - meanPriority);
    double aboveMean = meanPriority <= 0 ? 0
        : Math.max(-1, Math.min(1, (priority - meanPriority) / meanPriority));
    return 1 + PRIORITY_STRETCH * aboveMean;
  }

  /** Shrinks to 0 as the request class's recent attempts take longer. */
  private double headroom(RequestState request, double waitTicks) {
    double attempts = Math.min(MAX_HEADROOM_ATTEMPTS,
        MAX_HEADROOM_ATTEMPTS_PER_SERVER * servers.effectiveServers() / fleet.nodes());
    return attempts
        * Math.max(0, 1 - request.stats.recentAttemptTicks() / (HEADROOM_END_WAITS * waitTicks));
  }
}
