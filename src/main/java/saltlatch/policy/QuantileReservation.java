package saltlatch.policy;

/**
 * Learns how many units to reserve for a request whose actual units are reported only with its
 * answer. There is one instance for each customer and request class; it is released with the
 * customer.
 *
 * <p>The reservation minimizes the pinball loss by projected online gradient descent, so it
 * converges to the critical fractile of the actual units: overrun cost / (hold cost + overrun
 * cost). Inputs are the client's estimate for the first request, then the actual units of each
 * answer. The reservation stays between 0 and the quota's burst. Guards against clients whose
 * estimates are wrong. The rule does harm if the units of one class vary widely, since all requests
 * of the class reserve the same amount.
 */
final class QuantileReservation {
  /** Loss for each unit reserved in excess of the actual units. */
  private static final double HOLD_COST_PER_UNIT = 1;
  /** Loss for each actual unit in excess of the reservation. */
  private static final double OVERRUN_COST_PER_UNIT = 3;

  private final double maxUnits;
  private double units;
  private long stepCount;

  QuantileReservation(double estimatedUnits, double maxUnits) {
    this.maxUnits = maxUnits;
    units = Math.min(estimatedUnits, maxUnits);
  }

  /** Returns the units to reserve for the next request. */
  double units() {
    return units;
  }

  /** Learns from the actual units of an answered request; the step size is (D/G)/sqrt(t). */
  void learn(double actualUnits) {
    double subgradient = units > actualUnits ? HOLD_COST_PER_UNIT
        : units < actualUnits ? -OVERRUN_COST_PER_UNIT : 0;
    stepCount++;
    double stepSize = maxUnits / Math.max(HOLD_COST_PER_UNIT, OVERRUN_COST_PER_UNIT)
        / Math.sqrt((double) stepCount);
    units = Math.max(0, Math.min(maxUnits, units - stepSize * subgradient));
  }
}
