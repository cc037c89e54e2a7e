package saltlatch.policy;

import saltlatch.membership.QuotaShares;

/**
 * The part of a customer's quota that this node goes by while peers report and the counter is
 * silent: the sum of the shares of those nodes that hear exactly each other. Serves only where
 * nodes know each other by membership.
 *
 * <p>Inputs are the pool's share ({@link QuotaShares#pooledShare}) and when the counter last
 * answered for the customer; the result rescales the available units, which refill at that part of
 * the rate. While the counter answers, the part is the whole quota.
 *
 * <p>Guards against a network split in which each side takes its own members for all of the fleet
 * and uses the whole quota. It shows as usage of several quotas once the sides meet again. Sets of
 * nodes that hear exactly each other are a partition, so no share is used on two sides. Harms a
 * customer whose requests reach only the smaller side.
 */
final class PooledShare {
  private final QuotaGossip gossip;
  private final UnreportedPeerUsage unreportedPeerUsage;
  private QuotaShares shares; // null: nodes do not know each other

  PooledShare(QuotaGossip gossip, UnreportedPeerUsage unreportedPeerUsage) {
    this.gossip = gossip;
    this.unreportedPeerUsage = unreportedPeerUsage;
  }

  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
  }

  /** Follows the pool; called with the customer's units refilled up to now. */
  void updateShare(CustomerQuota customer, long now) {
    double share = share(customer, now);
    if (share == customer.gossipShare) {
      return;
    }
    if (customer.gossipShare < 1) {
      restoreWhole(customer);
    }
    customer.usageDuringPartition = 0;
    if (share < 1) {
      unreportedPeerUsage.chargePresumedUsage(customer, now);
    }
    customer.availableUnits *= share;
    customer.gossipShare = share;
  }

  private double share(CustomerQuota customer, long now) {
    boolean counterSilent = now - customer.lastCounterTotalAtTicks > gossip.validityTicks();
    boolean pooled = gossip.isUsageFresh(now, customer.nodeCount) && counterSilent;
    return pooled
        ? Math.max(FallbackShare.MIN_SHARE,
            shares.pooledShare(now, gossip.validityTicks(), customer.firstNode, customer.nodeCount))
        : 1;
  }

  /**
   * Extrapolates the whole quota as if every node had admitted alike; what the others did admit is
   * charged when they report it.
   */
  private static void restoreWhole(CustomerQuota customer) {
    double wholeUnits = (customer.availableUnits + customer.usageDuringPartition)
        / customer.gossipShare - customer.usageDuringPartition + customer.presumedPeerUsage;
    AvailableUnits.setFullQuotaUnits(customer, wholeUnits);
    customer.presumedPeerUsage = 0;
  }
}
