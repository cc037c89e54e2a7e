package saltlatch.policy;

/**
 * One app server, for as long as it is listed or has attempts in flight. Kept by
 * {@link ServerList}; each group of fields names the one class that writes it. Times are in ticks.
 */
final class ServerState {
  final long id;

  // Written by ServerList, from the endpoint list.
  /** When it last started; 0: long ago. */
  long startedAtTicks;
  int zone;
  int keyGroup;
  /** Capacity relative to others. */
  double weight;
  /** Takes requests: listed, and not draining. */
  boolean ready;

  // Written by AttemptTracker.
  int inFlight;

  // Written by OutlierDetection.
  /** Sum of 1 / expected time over the attempts in flight. */
  double inverseExpectedSum;
  /** Sum of start / expected time over the attempts in flight. */
  double startOverExpectedSum;
  /** Attempts that succeeded; decays. */
  double completed;
  /** Time that ended attempts took, in expected times; decays. */
  double spentTime;
  long decayedAtTicks;
  /** Last outcome, or start of the first attempt in flight if that is later. */
  long lastResponseAtTicks;

  // Written by WeightedRoundRobinLoadBalancer.
  /** Turns of the rotation that it has to come; below 0: that it had ahead of its part. */
  double rotationCredit;

  // Written by SlowStart.
  /** Units that it may be sent while it warms up; below 0: sent ahead. */
  double warmUpBudgetUnits;
  long warmUpBudgetAtTicks;

  ServerState(long id) {
    this.id = id;
  }
}
