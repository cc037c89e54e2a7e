package saltlatch.policy;

import saltlatch.membership.QuotaShares;

/**
 * What peers are taken to use of a customer's quota while their gossip is overdue. Serves only
 * where nodes know each other by membership.
 *
 * <p>Inputs are when each peer last sent a message and what this node admitted meanwhile; results
 * are units.
 *
 * <p>Guards against a network split: for as long as a silent peer still counts as reachable, each
 * side sees the same capacity and both use it, which shows as a quota used more than once. Each
 * overdue peer is therefore taken to admit as much as this node does. When the peer leaves the pool
 * the units are charged, and they are given back only when the counter or the peer reports. Harms a
 * customer of which the silent peers admitted less: it is rejected with capacity left.
 */
final class UnreportedPeerUsage {
  /** Gossip periods after which a peer's next message is overdue: it may be cut off. */
  private static final double OVERDUE_PERIODS = 1.2;

  private final QuotaGossip gossip;
  private QuotaShares shares; // null: nodes do not know each other

  UnreportedPeerUsage(QuotaGossip gossip) {
    this.gossip = gossip;
  }

  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
  }

  /** Charges what overdue peers are taken to have admitted, once they are no longer relied on. */
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
   * Units that overdue peers may have admitted since they last reported: as much as they did of
   * late, or each as much as this node since, whichever is more.
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

  /** Peers of the customer's set that reported lately, but whose next message is overdue. */
  private int overdueNodeCount(CustomerQuota customer, long now) {
    return shares.overdueNodeCount(now, (long) (OVERDUE_PERIODS * gossip.periodTicks()),
        2 * gossip.validityTicks(), customer.firstNode, customer.nodeCount);
  }
}
