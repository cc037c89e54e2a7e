package saltlatch.membership;

/**
 * What a node makes of the fleet that it sees, told in INFO and its history. It is a view; what it
 * may use is Leases'.
 */
public enum FleetView {
  WHOLE,
  MAJORITY,
  MINORITY,
  ALONE;

  static FleetView of(int live, int left, int members) {
    if (live >= members - left) return WHOLE;
    if (live <= 1) return ALONE;
    return 2 * live > members ? MAJORITY : MINORITY;
  }
}
