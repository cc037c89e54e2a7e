package saltlatch.policy;

import saltlatch.membership.QuotaShares;

/**
 * Computes the part of a customer's quota that this node decides by while peers report and the
 * counter is silent: the sum of the shares of this node's pool. A pool is a set of nodes that each
 * receive gossip from exactly the nodes of the pool. Used only if membership is enabled.
 *
 * <p>Inputs are the pool's share ({@link QuotaShares#pooledShare}) and the time of the counter's
 * last answer for the customer. The result scales the available units and their refill rate. While
 * the counter answers, the part is 1, the full quota.
 *
 * <p>Guards against a network partition in which the nodes on each side assume that they are the
 * entire fleet and use the full quota. The failure shows as usage of several quotas once the
 * partition has healed. Pools are disjoint, so no share is used on two sides. The rule does harm to
 * a customer whose requests reach only the smaller side.
 */
final class PooledShare {
  private final QuotaGossip gossip;
  private final UnreportedPeerUsage unreportedPeerUsage;
  private QuotaShares shares; // null while membership is disabled

  PooledShare(QuotaGossip gossip, UnreportedPeerUsage unreportedPeerUsage) {
    this.gossip = gossip;
    this.unreportedPeerUsage = unreportedPeerUsage;
  }

  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
  }

  /**
   * Adjusts the customer's available units to the pool's current share. The caller must have
   * refilled them up to now.
   */
  void updateShare(CustomerQuota customer, long now) {
    double share = share(customer, now);
    if (share == customer.gossipShare) {
      return;
    }
    if (customer.gossipShare < 1) {
      restoreFullQuota(customer);
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
   * Extrapolates the pool's units to the full quota, on the assumption that every node admitted the
   * same. Units that other nodes did admit are charged when those nodes report them.
   */
  private static void restoreFullQuota(CustomerQuota customer) {
    double fullQuotaUnits = (customer.availableUnits + customer.usageDuringPartition)
        / customer.gossipShare - customer.usageDuringPartition + customer.presumedPeerUsage;
    AvailableUnits.setFullQuotaUnits(customer, fullQuotaUnits);
    customer.presumedPeerUsage = 0;
  }
}
