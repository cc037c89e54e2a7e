package saltlatch.policy;

/**
 * What a window's total at the counter says of the units that other nodes charged.
 *
 * <p>Inputs are the units that this node's call added and the total behind it, in units of one
 * window. Between two totals, whatever this node did not add was added by others.
 *
 * <p>Three failures bend that, each guarded below: the counter loses counts, an add of this node
 * times out and was counted all the same, and much is admitted that no call carries before its
 * window turns.
 */
final class CounterTotals {
  /** Totals come with seven digits; less than this is no difference. */
  static final double NEGLIGIBLE_UNITS = 0.01;

  /** Step of the learned fraction: about twenty windows. */
  private static final double COUNTED_FRACTION_STEP = 0.05;

  private double countedFraction = 1;

  /** Part of this node's charges that calls carried before their window turned, 0 to 1. */
  double countedFraction() {
    return countedFraction;
  }

  /**
   * Takes in a total. {@link PeerUsage} charges the customer for the result.
   *
   * @param ownUnits   units that the answered call added
   * @param totalUnits the count behind that call
   * @param usageFresh peers report what is admitted uncounted, so that nothing has to be guessed
   */
  void apply(QuotaWindow window, double ownUnits, double totalUnits, boolean usageFresh) {
    window.ownConfirmedUnits += ownUnits;
    restoreLostUnits(window, ownUnits, totalUnits);
    double othersUnits = totalUnits + window.lostUnits - window.lastTotalUnits - ownUnits;
    window.lastTotalUnits = totalUnits + window.lostUnits;
    double ownLateUnits = takeUnconfirmed(window, othersUnits);
    // Guards against a counter so overloaded that much is admitted uncounted: by totals alone the
    // customer looks emptier than it is. The others are taken to count as small a part as this
    // node. Harms where they count more of theirs.
    double fraction = usageFresh ? 1 : countedFraction;
    window.peerUnitsByCounter += Math.max(0, othersUnits - ownLateUnits) / fraction
        + Math.min(0, othersUnits);
    window.totalChargedUnits += ownUnits + ownLateUnits;
  }

  /**
   * Guards against lost counts (the counter was flushed or came back empty): they show as a total
   * below what this node alone was confirmed. The last known total then stands for the rest of the
   * window, and the difference is added to every later total. Harms nobody beyond the window.
   */
  private static void restoreLostUnits(QuotaWindow window, double ownUnits, double totalUnits) {
    if (totalUnits + NEGLIGIBLE_UNITS < window.ownConfirmedUnits) {
      window.lostUnits = Math.max(window.lastTotalUnits + ownUnits, window.ownConfirmedUnits)
          - totalUnits;
      window.ownConfirmedUnits = totalUnits;
    }
  }

  /**
   * Guards against charging a customer twice for an add that timed out: it was charged when it
   * timed out, and shows in a later total as if another node had added it.
   */
  private static double takeUnconfirmed(QuotaWindow window, double othersUnits) {
    double ownLateUnits = Math.min(window.unconfirmedUnits, Math.max(0, othersUnits));
    window.unconfirmedUnits = 0;
    return ownLateUnits;
  }

  /** Learns from a window that has turned while the counter answered; null: there was none. */
  void learnCountedFraction(QuotaWindow turned) {
    double chargedUnits = turned == null ? 0
        : turned.ownConfirmedUnits + Math.max(0, turned.unsentUnits);
    if (chargedUnits > NEGLIGIBLE_UNITS) {
      countedFraction += COUNTED_FRACTION_STEP
          * (Math.max(0, turned.ownConfirmedUnits) / chargedUnits - countedFraction);
    }
  }
}
