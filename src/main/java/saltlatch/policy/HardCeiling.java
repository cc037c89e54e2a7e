package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/**
 * Enforces the plan's hard ceiling with a token bucket on each node, with the ceiling's rate and
 * burst divided by the number of the customer's nodes. Decides from local state alone whether a
 * request may be admitted.
 *
 * <p>Times are in ticks, amounts are units of the estimate at arrival. The ceiling must hold
 * whichever nodes are running and whatever messages are lost; therefore nodes do not lend parts of
 * it to each other, and no counter is involved. Does harm to a customer whose requests are spread
 * unevenly over its nodes.
 *
 * <p>Guards against restarts that allow more than the ceiling: the bucket is empty when the
 * instance starts, and a customer's bucket is kept until it is full. Otherwise a node that restarts
 * often, or an idle customer that was released, would have a full burst each time.
 */
final class HardCeiling {
  private HardCeiling() {}

  /** Starts with an empty bucket as of the start of the instance. */
  static void start(CustomerQuota customer, long instanceStartedAtTicks) {
    customer.ceilingUnitsAtTicks = instanceStartedAtTicks;
  }

  /**
   * Returns whether this node's bucket holds this many units now; always true if the plan has no
   * ceiling.
   */
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

  /** Takes the units of an admitted request from the bucket. */
  static void charge(CustomerQuota customer, double units) {
    customer.ceilingUnits -= units;
  }

  /**
   * Returns whether the customer can be released without allowing it more than the ceiling later.
   */
  static boolean mayRelease(CustomerQuota customer, long now) {
    boolean full = allows(customer, 0, now)
        && customer.ceilingUnits >= customer.plan.ceilingBurstUnits() / customer.nodeCount;
    return full || customer.plan.ceilingPerSecond() <= 0;
  }
}
