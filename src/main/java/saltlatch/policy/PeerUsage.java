package saltlatch.policy;

/**
 * Tracks the usage of a customer's quota by other nodes and learns this node's share of the quota.
 *
 * <p>Inputs are the window's counter totals ({@link CounterTotals}) and the sums that peers gossip;
 * the larger of the two is used. Amounts are units. Increases are charged to
 * {@link AvailableUnits}; the learned share is used when neither source answers.
 */
final class PeerUsage {
  /** Largest sum that a peer can plausibly report for one window, in bursts of the plan. */
  private static final double MAX_REPORTED_BURSTS = 8;

  /** Time constant of the exponential decay of the peers' usage: 5 s. */
  private static final double DECAY_TICKS = 50_000;

  /** Smoothing factor of the learned share: averages over about ten updates. */
  private static final double LEARNING_STEP = 0.1;

  /**
   * Smallest learned share, as a fraction of an even share: a customer's requests may move to
   * another node within seconds.
   */
  private static final double MIN_EVEN_SHARE_FRACTION = 0.5;

  /** Fraction of the burst that must be charged in a window before the share is learned from it. */
  private static final double MIN_CHARGED_BURST_FRACTION = 0.25;

  private PeerUsage() {}

  /** Returns whether a reported sum is at most {@link #MAX_REPORTED_BURSTS}. */
  static boolean isPlausible(CustomerQuota customer, double reportedUnits) {
    return reportedUnits <= MAX_REPORTED_BURSTS * customer.plan.burstUnits();
  }

  /**
   * Returns whether a reported sum is larger than the last one of the same node. Sums only grow
   * within a window, so a smaller or equal sum is a duplicate or arrived out of order.
   *
   * @param node the reporter's index within the customer's nodes
   */
  static boolean isNew(QuotaWindow window, int node, double reportedUnits) {
    if (window.gossipUnitsByNode == null) {
      window.gossipUnitsByNode = new double[window.customer.nodeCount];
    }
    return node < window.gossipUnitsByNode.length && reportedUnits > window.gossipUnitsByNode[node];
  }

  /** Records a peer's sum for a window; {@link #charge} then charges the customer for it. */
  static void recordReported(QuotaWindow window, int node, double reportedUnits) {
    window.peerUnitsByGossip += reportedUnits - window.gossipUnitsByNode[node];
    window.gossipUnitsByNode[node] = reportedUnits;
  }

  /**
   * Charges the customer for the usage of other nodes in a window that has not been charged yet.
   *
   * @param usageFresh whether the peers' reports are recent enough to decide by
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
   * Moves the learned share towards this node's share in a window.
   *
   * <p>While peers report, one half of the share is an even split and the other half is
   * proportional to the units that each node admitted, so that the shares of all nodes sum to one.
   * Without reports the share is this node's fraction of the counted units, and at least half an
   * even share, so that a node that has only just started to receive a customer's requests has a
   * share too.
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

  /** Returns the recent usage of other nodes, in units per tick. */
  static double recentUnitsPerTick(CustomerQuota customer, long now) {
    return recentUnits(customer, now) / DECAY_TICKS;
  }

  private static double recentUnits(CustomerQuota customer, long now) {
    return customer.peerUsage * Math.exp((customer.peerUsageAtTicks - now) / DECAY_TICKS);
  }
}
