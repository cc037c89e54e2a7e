package saltlatch.policy;

/**
 * Whether a quota has capacity for a request, by what peers report. Decides while the counter is
 * not healthy and gossip is fresh.
 *
 * <p>Inputs are the customer's available units, the rate at which others use them, and the units
 * that overdue peers may have used; all are units. A request is admitted if the units hold it and
 * what the others will have admitted by now, or, where any units are left, out of this node's part
 * of the refill.
 *
 * <p>Guards against a counter too small for a fleet of many nodes: shares of a quota split so many
 * ways hold less than one request, so that customers far within their quota are rejected. With all
 * usage known but the latest, no split is needed. Harms where the others use a quota in bursts
 * shorter than a gossip period.
 */
final class CapacityFromGossip {
  private final QuotaGossip gossip;
  private final UnreportedPeerUsage unreportedPeerUsage;

  CapacityFromGossip(QuotaGossip gossip, UnreportedPeerUsage unreportedPeerUsage) {
    this.gossip = gossip;
    this.unreportedPeerUsage = unreportedPeerUsage;
  }

  /** Called with the customer's units refilled up to now and no share without counter in use. */
  boolean allows(CustomerQuota customer, double requestUnits, long now) {
    refillAllowance(customer, now);
    double othersUnitsPerTick = PeerUsage.recentUnitsPerTick(customer, now);
    double unknownUnits = Math.max(othersUnitsPerTick * gossip.periodTicks(),
        unreportedPeerUsage.unreportedUnits(customer, othersUnitsPerTick, now));
    return customer.availableUnits >= requestUnits + unknownUnits
        || (customer.availableUnits > 0 && customer.refillAllowance > 0);
  }

  private static void refillAllowance(CustomerQuota customer, long now) {
    double burstUnits = customer.plan.burstUnits();
    double ratePerSecond = customer.plan.ratePerSecond() * customer.learnedShare;
    customer.refillAllowance = Math.max(-burstUnits,
        AvailableUnits.refilled(customer.refillAllowance, now - customer.refillAllowanceAtTicks,
            ratePerSecond, burstUnits * customer.learnedShare));
    customer.refillAllowanceAtTicks = now;
  }
}
