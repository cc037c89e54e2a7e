package saltlatch.membership;

/**
 * How much of the fleet this node considers live. It is only displayed to operators: which share of
 * a quota the node may use is determined by {@link QuotaLeases}.
 */
public enum FleetView {
  /** Every member that has not left is live. */
  COMPLETE("whole"),
  /** More than half of the members are live. */
  MAJORITY("majority"),
  /** Half of the members or fewer are live. */
  MINORITY("minority"),
  /** Only this node is live. */
  ISOLATED("alone");

  private final String infoName;

  FleetView(String infoName) {
    this.infoName = infoName;
  }

  /** Returns the name of this view in INFO and in the history. */
  public String infoName() {
    return infoName;
  }

  static FleetView of(int liveCount, int leftCount, int memberCount) {
    if (liveCount >= memberCount - leftCount) {
      return COMPLETE;
    }
    if (liveCount <= 1) {
      return ISOLATED;
    }
    return 2 * liveCount > memberCount ? MAJORITY : MINORITY;
  }
}
