package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/**
 * What this node knows of one customer's quota.
 *
 * <p>{@link QuotaManager} creates it at the customer's first request and releases it once the
 * customer was idle for long; each group of fields names the rule that writes it. {@code
 * availableUnits} is shared: {@link AvailableUnits} refills and charges it, {@link
 * FallbackShare} and {@link PooledShare} rescale it to the part of the quota in use.
 */
final class CustomerQuota {
  final long id;
  final GatewaySettings.QuotaPlan plan;
  /** The customer's requests reach {@code nodeCount} nodes from this one on. */
  final int firstNode;
  int nodeCount;
  long lastRequestAtTicks;
  QuotaWindow window;

  // AttemptTracker: attempts in flight.
  int inFlight;

  // QuotaCharges: the learned reservation of each request class.
  QuantileReservation[] reservationsByClass;

  // AvailableUnits: units left of the part of the quota that this node may use. QuotaManager and
  // UnreportedPeerUsage take off what is admitted or presumed used.
  double availableUnits;
  long availableUnitsAtTicks;
  /**
   * A window's count has reached the limit, and the quota has not filled again since. Set by
   * AdmissionControl, cleared by AvailableUnits.
   */
  boolean exhausted;

  // FallbackShare
  /** Units admitted since the share began; below 0 while no such share is in use. */
  double admittedOnFallbackShare = -1;
  /** Part of the quota that {@code availableUnits} stands for while the share is in use. */
  double fallbackShare;
  /** Units taken off the share at its start and used by nobody. */
  double startOffset;

  // PooledShare
  /** Part of the quota that {@code availableUnits} stands for while no such share is in use. */
  double gossipShare = 1;
  /** Units used by all nodes known while that part was below 1. */
  double usageDuringPartition;
  long lastCounterTotalAtTicks = GossipSchedule.NEVER_TICKS;

  // UnreportedPeerUsage
  /** Units this node admitted while gossip of some peer was overdue. */
  double admittedWhilePeersOverdue;
  /** Units that unreachable peers are presumed to have used, until they report. */
  double presumedPeerUsage;

  // PeerUsage
  /** Units used through other nodes lately; decays. */
  double peerUsage;
  long peerUsageAtTicks;
  /** Part of the customer's use that comes through this node. */
  double learnedShare;

  // CapacityFromGossip: units of the refill that this node may still use of a quota in short supply
  double refillAllowance;
  long refillAllowanceAtTicks;

  // HardCeiling: this node's bucket.
  double ceilingUnits;
  long ceilingUnitsAtTicks;

  CustomerQuota(long id, GatewaySettings.QuotaPlan plan, int firstNode) {
    this.id = id;
    this.plan = plan;
    this.firstNode = firstNode;
  }

  /** Whether the counter does not answer for this customer, so that the node decides by a share. */
  boolean isOnFallbackShare() {
    return admittedOnFallbackShare >= 0;
  }

  /** Notes units of an admitted request, if the node decides by a share. */
  void recordAdmittedOnFallbackShare(double units) {
    admittedOnFallbackShare += isOnFallbackShare() ? units : 0;
  }

  /** Part of the whole quota that {@code availableUnits} stands for. */
  double shareInUse() {
    return isOnFallbackShare() ? fallbackShare : gossipShare;
  }
}
