package saltlatch.policy;

/**
 * How many units to reserve for a request whose actual units are known only after its answer:
 * learned for one customer and request class, lives with the customer.
 *
 * <p>The reservation descends on the pinball loss (projected online gradient descent), so that it
 * comes to the critical fractile of the actual units: overrun cost / (hold cost + overrun cost).
 * Input: the client's estimate at first, then the actual units of each answer. It stays between
 * 0 and the quota's burst. Guards against clients that estimate wrongly; harms where the units
 * of one class differ widely, since all of its requests reserve the same.
 */
final class QuantileReservation {
  /** Loss for a unit reserved too much. */
  private static final double HOLD_COST_PER_UNIT = 1;
  /** Loss for a unit reserved too little. */
  private static final double OVERRUN_COST_PER_UNIT = 3;

  private final double maxUnits;
  private double units;
  private long steps;

  QuantileReservation(double estimatedUnits, double maxUnits) {
    this.maxUnits = maxUnits;
    units = Math.min(estimatedUnits, maxUnits);
  }

  /** Units to reserve for the next request. */
  double units() {
    return units;
  }

  /** Takes in the actual units of an answered request; the step shrinks as (D/G)/sqrt(t). */
  void learn(double actualUnits) {
    double slope = units > actualUnits ? HOLD_COST_PER_UNIT
        : units < actualUnits ? -OVERRUN_COST_PER_UNIT : 0;
    steps++;
    double step = maxUnits / Math.max(HOLD_COST_PER_UNIT, OVERRUN_COST_PER_UNIT) / Math.sqrt(steps);
    units = Math.max(0, Math.min(maxUnits, units - step * slope));
  }
}
