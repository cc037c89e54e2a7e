package saltlatch.policy;

/**
 * Decides by peers' reports whether a quota has capacity for a request. Used while the counter is
 * unhealthy and gossip is fresh.
 *
 * <p>Inputs are the customer's available units, the rate at which other nodes use them, and the
 * units that overdue peers may have used; all amounts are units. A request is admitted if the
 * available units cover both the request and what the other nodes are expected to have admitted
 * since their reports. If they do not, but some are left, it is admitted out of this node's part of
 * the refill.
 *
 * <p>Guards against a counter that is too small for a fleet of many nodes: if the quota were split
 * between them, each share would hold less than one request, and customers far within their quota
 * would be rejected. Since all but the latest usage is known, no split is needed. Does harm if
 * other nodes use a quota in bursts shorter than a gossip period.
 */
final class CapacityFromGossip {
  private final QuotaGossip gossip;
  private final UnreportedPeerUsage unreportedPeerUsage;

  CapacityFromGossip(QuotaGossip gossip, UnreportedPeerUsage unreportedPeerUsage) {
    this.gossip = gossip;
    this.unreportedPeerUsage = unreportedPeerUsage;
  }

  /**
   * Returns whether the quota has capacity for the request. The customer's units must be refilled
   * up to now, and no fallback share may be in use.
   */
  boolean allows(CustomerQuota customer, double requestUnits, long now) {
    updateRefillAllowance(customer, now);
    double othersUnitsPerTick = PeerUsage.recentUnitsPerTick(customer, now);
    double unknownUnits = Math.max(othersUnitsPerTick * gossip.periodTicks(),
        unreportedPeerUsage.unreportedUnits(customer, othersUnitsPerTick, now));
    return customer.availableUnits >= requestUnits + unknownUnits
        || (customer.availableUnits > 0 && customer.refillAllowance > 0);
  }

  private static void updateRefillAllowance(CustomerQuota customer, long now) {
    double burstUnits = customer.plan.burstUnits();
    double ratePerSecond = customer.plan.ratePerSecond() * customer.learnedShare;
    customer.refillAllowance = Math.max(-burstUnits,
        AvailableUnits.refilled(customer.refillAllowance, now - customer.refillAllowanceAtTicks,
            ratePerSecond, burstUnits * customer.learnedShare));
    customer.refillAllowanceAtTicks = now;
  }
}
