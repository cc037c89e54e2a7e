package saltlatch.policy;

import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * Calculates how many units of a customer's quota are left, with a token bucket of the plan's rate
 * and burst.
 *
 * <p>The bucket is scaled by the part of the quota that this node may use
 * ({@link CustomerQuota#shareInUse}). Times are ticks, amounts are units, rates are units per
 * second.
 *
 * <p>Guards against the effects of fixed windows: if only the window's count decided, a heavy
 * customer would exhaust each window at its start, be rejected until the next window although the
 * quota has refilled, and then get a full burst again. The bucket refills evenly and has no such
 * step.
 */
final class AvailableUnits {
  /** Fraction of the burst from which on an exhausted quota counts as refilled. */
  private static final double REFILLED_BURST_FRACTION = 0.9;

  /**
   * The largest debt, in bursts. Usage beyond a quota takes nothing from the quota, so it must not
   * create unlimited debt.
   */
  private static final double MAX_DEBT_BURSTS = 0.6;

  private AvailableUnits() {}

  /** Returns the units of a token bucket that held {@code heldUnits} this long ago. */
  static double refilled(double heldUnits, long elapsedTicks, double ratePerSecond,
      double capacityUnits) {
    return Math.min(capacityUnits,
        heldUnits + elapsedTicks * ratePerSecond / (double) Ticks.PER_SECOND);
  }

  /**
   * Refills the customer's bucket up to now. If it is full enough, the quota is no longer
   * exhausted.
   */
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
   * @param usageFresh whether peers report all that they admit. If so, all of it is charged; if
   *     not, the debt is limited.
   */
  static void chargePeerUsage(CustomerQuota customer, double units, boolean usageFresh) {
    double floorUnits = usageFresh ? 0 : -MAX_DEBT_BURSTS * customer.plan.burstUnits();
    customer.availableUnits = Math.max(Math.min(customer.availableUnits, floorUnits),
        customer.availableUnits - units);
  }

  /** Sets the available units of the full quota, limited to its burst and the largest debt. */
  static void setFullQuotaUnits(CustomerQuota customer, double units) {
    double burstUnits = customer.plan.burstUnits();
    customer.availableUnits = Math.min(burstUnits, Math.max(-MAX_DEBT_BURSTS * burstUnits, units));
  }
}
