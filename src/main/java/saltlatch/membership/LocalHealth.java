package saltlatch.membership;

/**
 * Lifeguard's local health multiplier: how slow this node has recently been, 0 for a node that is
 * not slow. Its periods and timeouts are longer by the factor of the multiplier plus one.
 *
 * <p>Guards against a node that gets too little CPU time and attributes this delay to others: it
 * would spread suspicions of live members through the fleet. The symptom is acks that are processed
 * after the timeout.
 */
final class LocalHealth {
  /** Maximum that the evaluation in the Lifeguard paper uses. */
  private static final int MAX_MULTIPLIER = 8;

  /**
   * After an absence a node probes at a third of its normal rate, after one answered probe at half,
   * after two at the full rate.
   */
  private static final int MULTIPLIER_AFTER_ABSENCE = 2;

  private int multiplier;

  int multiplier() {
    return multiplier;
  }

  void degrade(int by) {
    multiplier = Math.min(MAX_MULTIPLIER, multiplier + by);
  }

  void improve() {
    multiplier = Math.max(0, multiplier - 1);
  }

  void degradeAfterAbsence() {
    multiplier = Math.max(multiplier, MULTIPLIER_AFTER_ABSENCE);
  }
}
