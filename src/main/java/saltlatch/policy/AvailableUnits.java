package saltlatch.policy;

import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * How many units a customer's quota has left: a token bucket of the plan's rate and burst.
 *
 * <p>The bucket is scaled by the part of the quota that this node may use
 * ({@link CustomerQuota#shareInUse}). Times are ticks, amounts units, rates units a second.
 *
 * <p>Guards against windows that differ from the bucket: judged by the window alone, a heavy
 * customer spends each window at its start, is rejected with capacity left until the window turns,
 * and finds a whole burst again there. The bucket fills evenly, so it has no such edge.
 */
final class AvailableUnits {
  /** Part of the burst at which an exhausted quota counts as filled again. */
  private static final double REFILLED_BURST_FRACTION = 0.9;

  /** What is used beyond a quota draws nothing from it, so the debt is bounded. */
  private static final double MAX_DEBT_BURSTS = 0.6;

  private AvailableUnits() {}

  /** Units of a token bucket now. */
  static double refilled(double heldUnits, long elapsedTicks, double ratePerSecond,
      double capacityUnits) {
    return Math.min(capacityUnits,
        heldUnits + elapsedTicks * ratePerSecond / (double) Ticks.PER_SECOND);
  }

  /** Fills the bucket up to now; a full enough one is not exhausted any more. */
  static void refill(CustomerQuota customer, long now) {
    double share = customer.shareInUse();
    GatewaySettings.QuotaPlan plan = customer.plan;
    customer.availableUnits = refilled(customer.availableUnits,
        now - customer.availableUnitsAtTicks, plan.ratePerSecond() * share,
        plan.burstUnits() * share);
    customer.availableUnitsAtTicks = now;
    customer.exhausted &= customer.availableUnits < REFILLED_BURST_FRACTION * plan.burstUnits()
        * share;
  }

  /**
   * Charges what other nodes admitted.
   *
   * @param usageFresh peers report all that they admit, so that no debt has to be held for what is
   *                   not known
   */
  static void chargePeerUsage(CustomerQuota customer, double units, boolean usageFresh) {
    double floorUnits = usageFresh ? 0 : -MAX_DEBT_BURSTS * customer.plan.burstUnits();
    customer.availableUnits = Math.max(Math.min(customer.availableUnits, floorUnits),
        customer.availableUnits - units);
  }

  /** Sets the units of the whole quota, within its burst and the largest debt. */
  static void setFullQuotaUnits(CustomerQuota customer, double units) {
    double burstUnits = customer.plan.burstUnits();
    customer.availableUnits = Math.min(burstUnits, Math.max(-MAX_DEBT_BURSTS * burstUnits, units));
  }
}
