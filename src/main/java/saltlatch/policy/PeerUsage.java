package saltlatch.policy;

/**
 * What other nodes use of a customer's quota, and this node's learned share of it.
 *
 * <p>Inputs are the window's totals ({@link CounterTotals}) and the sums that peers gossip; of the
 * two, whichever knows more counts. Amounts are units. What is new is charged to
 * {@link AvailableUnits}; the learned share serves where neither source answers.
 */
final class PeerUsage {
  /** A peer that reports more in one window is wrong. */
  private static final double MAX_REPORTED_BURSTS = 8;

  /** Over this the rate of the others' usage is taken: 5 s. */
  private static final double DECAY_TICKS = 50_000;

  /** Step of the learned share: about ten answers. */
  private static final double LEARNING_STEP = 0.1;

  /** The least share, as a part of an even one: use may move to other nodes within seconds. */
  private static final double MIN_EVEN_SHARE_FRACTION = 0.5;

  /** Part of the burst that must be charged before a window teaches the share. */
  private static final double MIN_CHARGED_BURST_FRACTION = 0.25;

  private PeerUsage() {}

  /** Whether a reported sum can be true at all. */
  static boolean isPlausible(CustomerQuota customer, double reportedUnits) {
    return reportedUnits <= MAX_REPORTED_BURSTS * customer.plan.burstUnits();
  }

  /**
   * Whether a reported sum is news: sums only grow within a window, so a smaller or equal one was
   * sent twice or overtaken on the way.
   *
   * @param node the reporter's place in the customer's set
   */
  static boolean isNew(QuotaWindow window, int node, double reportedUnits) {
    if (window.gossipUnitsByNode == null) {
      window.gossipUnitsByNode = new double[window.customer.nodeCount];
    }
    return node < window.gossipUnitsByNode.length && reportedUnits > window.gossipUnitsByNode[node];
  }

  /** Notes a peer's sum for a window; the customer is charged by {@link #charge}. */
  static void recordReported(QuotaWindow window, int node, double reportedUnits) {
    window.peerUnitsByGossip += reportedUnits - window.gossipUnitsByNode[node];
    window.gossipUnitsByNode[node] = reportedUnits;
  }

  /**
   * Charges the customer for what is newly known of the others' usage in a window.
   *
   * @param usageFresh whether peers' reports are fresh enough to go by
   */
  static void charge(QuotaWindow window, boolean usageFresh, long now) {
    CustomerQuota customer = window.customer;
    double knownUnits = window.peerUnitsByGossip > 0
        ? Math.max(window.peerUnitsByCounter, window.peerUnitsByGossip) : window.peerUnitsByCounter;
    double newUnits = knownUnits - window.peerChargedUnits;
    window.peerChargedUnits = knownUnits;
    window.totalChargedUnits += newUnits;
    AvailableUnits.chargePeerUsage(customer, newUnits, usageFresh);
    customer.usageDuringPartition += newUnits;
    customer.peerUsage = recentUnits(customer, now) + Math.max(0, newUnits);
    customer.peerUsageAtTicks = now;
    learnShare(window, usageFresh);
  }

  /**
   * The share sums to one over the nodes where peers report: half an even one, and half by what
   * each admitted. Without reports it is this node's part of what was counted, at least half an
   * even one, so that a node which just gets a customer's use isn't left without any.
   */
  private static void learnShare(QuotaWindow window, boolean usageFresh) {
    CustomerQuota customer = window.customer;
    if (window.totalChargedUnits <= MIN_CHARGED_BURST_FRACTION * customer.plan.burstUnits()) {
      return;
    }
    double minShare = MIN_EVEN_SHARE_FRACTION / customer.nodeCount;
    double share = usageFresh
        ? minShare + (1 - MIN_EVEN_SHARE_FRACTION) * window.admittedUnits
            / Math.max(CounterTotals.NEGLIGIBLE_UNITS,
                window.admittedUnits + window.peerChargedUnits)
        : Math.min(1, Math.max(minShare, window.ownConfirmedUnits / window.totalChargedUnits));
    customer.learnedShare += LEARNING_STEP * (share - customer.learnedShare);
  }

  /** Units that the others use in a tick, as of late. */
  static double recentUnitsPerTick(CustomerQuota customer, long now) {
    return recentUnits(customer, now) / DECAY_TICKS;
  }

  private static double recentUnits(CustomerQuota customer, long now) {
    return customer.peerUsage * Math.exp((customer.peerUsageAtTicks - now) / DECAY_TICKS);
  }
}
