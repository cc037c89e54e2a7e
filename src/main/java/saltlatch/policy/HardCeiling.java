package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/**
 * The plan's hard ceiling: a token bucket on each node, of the ceiling's rate and burst divided by
 * the customer's nodes. It decides whether a request may be admitted, from local knowledge alone.
 *
 * <p>Times are ticks, amounts units of the estimate at arrival. The ceiling is a rule that must
 * hold whoever lives and whatever is lost, so it is not lent between nodes and asks no counter. It
 * harms a customer whose requests reach its nodes unevenly.
 *
 * <p>Guards against a restart that forgives the ceiling: the bucket is empty at the start of the
 * instance, and a customer's bucket is kept until it is full. Otherwise a node that restarts often,
 * or an idle customer that is forgotten, would find a whole burst each time.
 */
final class HardCeiling {
  private HardCeiling() {}

  /** An empty bucket as of the start of the instance. */
  static void start(CustomerQuota customer, long instanceStartedAtTicks) {
    customer.ceilingUnitsAtTicks = instanceStartedAtTicks;
  }

  /** Whether this node's bucket holds so many units now; true where the plan has no ceiling. */
  static boolean allows(CustomerQuota customer, double units, long now) {
    GatewaySettings.QuotaPlan plan = customer.plan;
    if (plan.ceilingPerSecond() <= 0) {
      return true;
    }
    customer.ceilingUnits = AvailableUnits.refilled(customer.ceilingUnits,
        now - customer.ceilingUnitsAtTicks, plan.ceilingPerSecond() / customer.nodeCount,
        plan.ceilingBurstUnits() / customer.nodeCount);
    customer.ceilingUnitsAtTicks = now;
    return units <= customer.ceilingUnits;
  }

  /** Takes the units of an admitted request out of the bucket. */
  static void charge(CustomerQuota customer, double units) {
    customer.ceilingUnits -= units;
  }

  /** Whether nothing of the ceiling is forgiven if the customer is forgotten now. */
  static boolean mayRelease(CustomerQuota customer, long now) {
    boolean full = allows(customer, 0, now)
        && customer.ceilingUnits >= customer.plan.ceilingBurstUnits() / customer.nodeCount;
    return full || customer.plan.ceilingPerSecond() <= 0;
  }
}
