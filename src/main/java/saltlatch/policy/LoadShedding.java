package saltlatch.policy;

/**
 * Decides whether a request is rejected because the app servers are overloaded. Inputs: the
 * attempts in flight, the rate at which attempts succeed, the number of servers, and the request's
 * latency objective and priority weight. Times are in ticks.
 *
 * <p>By Little's law, the attempts in flight divided by the attempts completed per second are the
 * current duration of an attempt. If that exceeds a fraction of the latency objective (or of the
 * client's remaining timeout, if that is shorter), the request is rejected immediately. The
 * fraction is smaller for requests of low priority and for late retries. A few attempts per warm
 * server are always allowed; while attempts are fast, some more are allowed, because requests
 * coincide by chance. Of both allowances, which apply to all nodes together, this node uses its
 * share.
 *
 * <p>Guards against queues that last longer than the latency objective, caused by overload, dead or
 * slow servers, or retry storms. Does harm if servers answer in bursts.
 */
final class LoadShedding {
  /** Fraction of the latency objective that attempts may take on average. */
  private static final double WAIT_OBJECTIVE_FRACTION = 0.3;
  /** Fraction of the allowed wait that is withheld from late retries. */
  private static final double LATE_RETRY_RESERVE = 0.35;
  /**
   * Attempts in flight, per warm server and over all nodes, that are allowed regardless of the
   * load.
   */
  private static final double FREE_ATTEMPTS_PER_SERVER = 3;
  /** Additional attempts in flight that one node allows while attempts are fast. */
  private static final double MAX_HEADROOM_ATTEMPTS = 4;
  /** The same limit per warm server, over all nodes. */
  private static final double MAX_HEADROOM_ATTEMPTS_PER_SERVER = 2;
  /**
   * Duration of recent attempts, in multiples of the allowed wait, from which on there is no
   * headroom.
   */
  private static final double HEADROOM_END_WAITS = 2;
  /** The largest fraction by which a request's priority changes the allowed wait. */
  private static final double MAX_PRIORITY_ADJUSTMENT = 0.3;
  /** Step of the mean priority; it averages about 100 requests. */
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

  /** Records that an attempt has started. */
  void recordStart() {
    inFlight++;
  }

  /** Records that an attempt has ended or was abandoned; must be called once per attempt. */
  void recordEnd() {
    inFlight--;
  }

  /** Returns whether a request must be rejected; also includes its priority in the mean. */
  boolean isOverloaded(RequestState request, long now) {
    double waitFraction = WAIT_OBJECTIVE_FRACTION * (request.lateRetry ? 1 - LATE_RETRY_RESERVE : 1)
        * priorityFactor(request);
    double freeAttempts = FREE_ATTEMPTS_PER_SERVER * servers.effectiveServers() / fleet.nodes();
    double waitTicks = waitFraction
        * Math.min(request.stats.requestClass.latencyObjectiveTicks(), request.deadlineTicks - now);
    double completedInWait = waitTicks * completions.attemptsInWindow()
        / CompletionRate.WINDOW_TICKS;
    return inFlight >= Math.max(freeAttempts, completedInWait) + headroom(request, waitTicks);
  }

  /**
   * Returns the factor by which the request's priority changes the allowed wait; 1 for the mean
   * priority.
   */
  private double priorityFactor(RequestState request) {
    double priority = request.customer.plan.priorityWeight()
        * request.stats.requestClass.priorityWeight();
    meanPriority += (meanPriority == 0 ? 1 : MEAN_PRIORITY_STEP) * (priority - meanPriority);
    double aboveMean = meanPriority <= 0 ? 0
        : Math.max(-1, Math.min(1, (priority - meanPriority) / meanPriority));
    return 1 + MAX_PRIORITY_ADJUSTMENT * aboveMean;
  }

  /**
   * Returns the additional attempts allowed; falls to 0 as the recent attempts of the request class
   * take longer.
   */
  private double headroom(RequestState request, double waitTicks) {
    double attempts = Math.min(MAX_HEADROOM_ATTEMPTS,
        MAX_HEADROOM_ATTEMPTS_PER_SERVER * servers.effectiveServers() / fleet.nodes());
    return attempts
        * Math.max(0, 1 - request.stats.recentAttemptTicks() / (HEADROOM_END_WAITS * waitTicks));
  }
}
