package saltlatch.member;

/** What a node makes of the fleet that it sees, told in INFO and its history. It is a view; what it may use is Leases'. */
public enum Standing {
  WHOLE,
  MAJORITY,
  MINORITY,
  ALONE;

  static Standing of(int live, int left, int members) {
    if (live >= members - left) return WHOLE;
    if (live <= 1) return ALONE;
    return 2 * live > members ? MAJORITY : MINORITY;
  }
}
