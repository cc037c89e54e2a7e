package saltlatch.policy;

/**
 * State of one app server while it is listed or has attempts in flight. Held by {@link ServerList};
 * the comment above each group of fields names the only class that writes it. Times are in ticks.
 */
final class ServerState {
  final long id;

  // Written by ServerList, from the endpoint list.
  /** Time of the server's last start; 0 if it started long ago. */
  long startedAtTicks;
  int zone;
  int keyGroup;
  /** Capacity relative to other servers. */
  double weight;
  /** Whether the server accepts requests: it is listed and not draining. */
  boolean ready;

  // Written by AttemptTracker.
  int inFlight;

  // Written by OutlierDetection.
  /** Sum of 1 / expected time over the attempts in flight. */
  double inverseExpectedSum;
  /** Sum of start / expected time over the attempts in flight. */
  double startOverExpectedSum;
  /** Number of attempts that succeeded; decays exponentially. */
  double completed;
  /** Time taken by ended attempts, in multiples of the expected time; decays exponentially. */
  double spentTime;
  long decayedAtTicks;
  /**
   * Time of the last outcome or, if later, of the last attempt that started on the idle server or
   * of the end of this node's last stall.
   */
  long lastResponseAtTicks;

  // Written by WeightedRoundRobinLoadBalancer.
  /** Turns of the rotation due to the server; negative if it had more than its share. */
  double rotationCredit;

  // Written by SlowStart.
  /** Units that may be sent to the server while it warms up; negative if overdrawn. */
  double warmUpBudgetUnits;
  long warmUpBudgetAtTicks;

  ServerState(long id) {
    this.id = id;
  }
}
