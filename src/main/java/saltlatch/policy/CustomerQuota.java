package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/**
 * The state of one customer's quota on this node.
 *
 * <p>{@link QuotaManager} creates it at the customer's first request and releases it after the
 * customer has been idle for a long time. The comment above each group of fields names the rule
 * that writes them. {@code availableUnits} is shared: {@link AvailableUnits} refills and charges
 * it, {@link FallbackShare} and {@link PooledShare} rescale it to the part of the quota in use.
 */
final class CustomerQuota {
  final long id;
  final GatewaySettings.QuotaPlan plan;
  /** The first of the {@code nodeCount} consecutive nodes that receive the customer's requests. */
  final int firstNode;
  int nodeCount;
  long lastRequestAtTicks;
  QuotaWindow window;

  // RequestTable: requests that are not released.
  int openRequests;

  // AttemptTracker: attempts in flight.
  int inFlight;

  // QuotaCharges: the learned reservation of each request class.
  QuantileReservation[] reservationsByClass;

  // AvailableUnits: units left of the part of the quota that this node may use. QuotaManager
  // subtracts admitted units, UnreportedPeerUsage those presumed to be used by peers.
  double availableUnits;
  long availableUnitsAtTicks;
  /**
   * A window's count has reached the limit, and the quota has not refilled since. Set by
   * AdmissionControl, cleared by AvailableUnits.
   */
  boolean exhausted;

  // FallbackShare
  /** Units admitted since the fallback share began; negative while no fallback share is in use. */
  double admittedOnFallbackShare = -1;
  /** Part of the quota that {@code availableUnits} represents while a fallback share is in use. */
  double fallbackShare;
  /** Units subtracted at the start of the fallback share that no request has used. */
  double startOffset;

  // PooledShare
  /** Part of the quota that {@code availableUnits} represents while no fallback share is in use. */
  double gossipShare = 1;
  /** Known usage of all nodes, in units, while {@code gossipShare} was below 1. */
  double usageDuringPartition;
  long lastCounterTotalAtTicks = GossipSchedule.NEVER_TICKS;

  // UnreportedPeerUsage
  /** Units that this node admitted while the gossip of some peer was overdue. */
  double admittedWhilePeersOverdue;
  /** Units that unreachable peers are presumed to have used, until they report. */
  double presumedPeerUsage;

  // PeerUsage
  /** Recent usage through other nodes, in units; decays. */
  double peerUsage;
  long peerUsageAtTicks;
  /** Part of the customer's usage that this node receives. */
  double learnedShare;

  // CapacityFromGossip: units of the refill that this node may use when few units are available.
  double refillAllowance;
  long refillAllowanceAtTicks;

  // HardCeiling: this node's token bucket.
  double ceilingUnits;
  long ceilingUnitsAtTicks;

  CustomerQuota(long id, GatewaySettings.QuotaPlan plan, int firstNode) {
    this.id = id;
    this.plan = plan;
    this.firstNode = firstNode;
  }

  /**
   * Returns whether this node decides by a fallback share, because neither the counter nor peers
   * report the customer's usage.
   */
  boolean isOnFallbackShare() {
    return admittedOnFallbackShare >= 0;
  }

  /** Records the units of an admitted request if a fallback share is in use. */
  void recordAdmittedOnFallbackShare(double units) {
    admittedOnFallbackShare += isOnFallbackShare() ? units : 0;
  }

  /** Returns the part of the full quota that {@code availableUnits} represents. */
  double shareInUse() {
    return isOnFallbackShare() ? fallbackShare : gossipShare;
  }
}
