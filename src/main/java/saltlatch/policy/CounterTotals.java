package saltlatch.policy;

/**
 * Derives the units that other nodes charged in a window from the window's total at the counter.
 *
 * <p>Inputs are the units that a call of this node added and the total that it returned, both in
 * units of one window. Between two totals, any increase that this node did not cause came from
 * other nodes.
 *
 * <p>Three failures distort this, and each is guarded against below: the counter loses its counts;
 * an add of this node times out although it was counted; many units are admitted that no call
 * reports before their window ends.
 */
final class CounterTotals {
  /** Totals are transferred with seven digits; a smaller difference is a rounding error. */
  static final double NEGLIGIBLE_UNITS = 0.01;

  /** Step by which the learned fraction changes per window; it averages about twenty windows. */
  private static final double COUNTED_FRACTION_STEP = 0.05;

  private double countedFraction = 1;

  /**
   * Returns the fraction, 0 to 1, of this node's charges that calls reported before their window
   * ended.
   */
  double countedFraction() {
    return countedFraction;
  }

  /**
   * Applies a total to its window. {@link PeerUsage} charges the customer for the result.
   *
   * @param ownUnits   units that the answered call added
   * @param totalUnits the count after that call
   * @param usageFresh whether peers also report what they admit without counting it, so that it
   *     need not be estimated
   */
  void apply(QuotaWindow window, double ownUnits, double totalUnits, boolean usageFresh) {
    window.ownConfirmedUnits += ownUnits;
    restoreLostUnits(window, ownUnits, totalUnits);
    double othersUnits = totalUnits + window.lostUnits - window.lastTotalUnits - ownUnits;
    window.lastTotalUnits = totalUnits + window.lostUnits;
    double ownLateUnits = takeUnconfirmed(window, othersUnits);
    // Guards against a counter so overloaded that many units are admitted uncounted: by the totals
    // alone, the customer would seem to have used less than it has. The other nodes are assumed to
    // count the same fraction as this node; if they count more, the customer is overcharged.
    double fraction = usageFresh ? 1 : countedFraction;
    window.peerUnitsByCounter += Math.max(0, othersUnits - ownLateUnits) / fraction
        + Math.min(0, othersUnits);
    window.totalChargedUnits += ownUnits + ownLateUnits;
  }

  /**
   * Guards against lost counts, when the counter was flushed or restarted empty: the total is then
   * below the units that it has confirmed to this node alone. For the rest of the window, the last
   * known total remains in effect, because the difference is added to every later total. Does no
   * harm beyond the window.
   */
  private static void restoreLostUnits(QuotaWindow window, double ownUnits, double totalUnits) {
    if (totalUnits + NEGLIGIBLE_UNITS < window.ownConfirmedUnits) {
      window.lostUnits = Math.max(window.lastTotalUnits + ownUnits, window.ownConfirmedUnits)
          - totalUnits;
      window.ownConfirmedUnits = totalUnits;
    }
  }

  /**
   * Guards against charging a customer twice for an add that timed out: it was charged at the
   * timeout, and a later total includes it as if another node had added it.
   */
  private static double takeUnconfirmed(QuotaWindow window, double othersUnits) {
    double ownLateUnits = Math.min(window.unconfirmedUnits, Math.max(0, othersUnits));
    window.unconfirmedUnits = 0;
    return ownLateUnits;
  }

  /**
   * Updates the fraction from a window that has ended while the counter answered.
   *
   * @param endedWindow the window that ended, or null if there was none
   */
  void learnCountedFraction(QuotaWindow endedWindow) {
    double chargedUnits = endedWindow == null ? 0
        : endedWindow.ownConfirmedUnits + Math.max(0, endedWindow.unsentUnits);
    if (chargedUnits > NEGLIGIBLE_UNITS) {
      countedFraction += COUNTED_FRACTION_STEP
          * (Math.max(0, endedWindow.ownConfirmedUnits) / chargedUnits - countedFraction);
    }
  }
}
