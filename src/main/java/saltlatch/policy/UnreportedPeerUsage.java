package saltlatch.policy;

import saltlatch.membership.QuotaShares;

/**
 * Estimates the usage of a customer's quota by peers whose gossip is overdue. Used only if
 * membership is enabled.
 *
 * <p>Inputs are the time of each peer's last message and the units that this node has admitted
 * since then; results are in units.
 *
 * <p>Guards against a network partition: while a silent peer still counts as reachable, both sides
 * see the same capacity and both use it, which shows as a quota used more than once. Each overdue
 * peer is therefore assumed to admit as many units as this node. When the peer leaves the pool the
 * units are charged, and they are refunded only when the counter or the peer reports. The rule does
 * harm if the silent peers admitted less: the customer's requests are rejected with capacity left.
 */
final class UnreportedPeerUsage {
  /** Gossip periods after which a peer's next message is overdue: the peer may be unreachable. */
  private static final double OVERDUE_PERIODS = 1.2;

  private final QuotaGossip gossip;
  private QuotaShares shares; // null while membership is disabled

  UnreportedPeerUsage(QuotaGossip gossip) {
    this.gossip = gossip;
  }

  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
  }

  /**
   * Charges the estimated usage of overdue peers; called when this node stops relying on their
   * reports.
   */
  void chargePresumedUsage(CustomerQuota customer, long now) {
    if (shares == null) {
      return;
    }
    double units = overdueNodeCount(customer, now) * customer.admittedWhilePeersOverdue;
    customer.admittedWhilePeersOverdue = 0;
    customer.presumedPeerUsage += units;
    customer.availableUnits -= units;
  }

  /**
   * Returns the units that overdue peers may have admitted since their last report: the larger of
   * the estimate by their recent rate and as many units for each of them as this node admitted.
   */
  double unreportedUnits(CustomerQuota customer, double othersUnitsPerTick, long now) {
    if (shares == null) {
      return 0;
    }
    int overdue = overdueNodeCount(customer, now);
    if (overdue == 0) {
      customer.admittedWhilePeersOverdue = 0;
      return 0;
    }
    return Math.max(othersUnitsPerTick * OVERDUE_PERIODS * gossip.periodTicks(),
        overdue * customer.admittedWhilePeersOverdue);
  }

  /** Returns how many of the customer's nodes reported recently but have an overdue message. */
  private int overdueNodeCount(CustomerQuota customer, long now) {
    return shares.overdueNodeCount(now, (long) (OVERDUE_PERIODS * gossip.periodTicks()),
        2 * gossip.validityTicks(), customer.firstNode, customer.nodeCount);
  }
}
