package saltlatch.policy;

import saltlatch.api.Ticks;
import saltlatch.membership.QuotaShares;

/**
 * Determines when this node sends gossip, and how long the gossip of peers is fresh. Times are in
 * ticks.
 *
 * <p>Gossip is active while the counter is unhealthy and for some periods after that, because peers
 * may still be unable to reach the counter. Messages are sent once per period. Gossip is fresh if a
 * message of any peer arrived recently.
 *
 * <p>Guards against gossip that overloads its receivers if many nodes share customers: their
 * sockets would drop datagrams, so that peers would appear to be unreachable. The period grows with
 * the number of nodes that may send to one node, so that all together use only a fraction of the
 * datagrams that a node can receive. Does harm in large fleets, where reports are older.
 */
final class GossipSchedule {
  /** A time before all others. */
  static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  /** Fraction of the datagrams that a node can receive that gossip may use. */
  static final double MAX_INTAKE_FRACTION = 0.5;

  /** The shortest period; quotas refill by less than a burst in this time. */
  private static final double MIN_PERIOD_TICKS = Ticks.PER_SECOND;

  /** Number of periods without any message after which peers' reports are stale. */
  private static final double VALIDITY_PERIODS = 3;

  /** Number of periods for which gossip continues after the counter was last unhealthy. */
  private static final double LINGER_PERIODS = 5;

  private final int nodeCount;
  private final double intakePerSecond;
  private int largestCustomerNodeCount = 1;
  private long unhealthyAtTicks = NEVER_TICKS;
  private long receivedAtTicks = NEVER_TICKS;
  private long sentAtTicks = NEVER_TICKS;
  private QuotaShares shares; // null: membership is disabled

  /**
   * Creates a schedule that has sent and received no message.
   *
   * @param intakePerSecond datagrams per second that a node can receive from its peers; 0 for no
   *     gossip
   */
  GossipSchedule(int nodeCount, double intakePerSecond) {
    this.nodeCount = nodeCount;
    this.intakePerSecond = nodeCount > 1 ? intakePerSecond : 0;
  }

  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
  }

  boolean isEnabled() {
    return intakePerSecond > 0;
  }

  /** Records the number of nodes that receive a customer's requests. */
  void recordCustomerNodeCount(int nodes) {
    largestCustomerNodeCount = Math.max(largestCustomerNodeCount, nodes);
  }

  /** Returns the largest number of nodes that receive the requests of one customer. */
  int largestCustomerNodeCount() {
    return largestCustomerNodeCount;
  }

  /**
   * Returns the time between two rounds of messages. Each customer is spread over at most
   * {@link #largestCustomerNodeCount} neighbouring nodes, so at most twice as many nodes share
   * customers with this node, and all of them may send at once.
   */
  double periodTicks() {
    int nodes = shares == null ? nodeCount : shares.divisorNodeCount();
    int senders = Math.min(nodes - 1, 2 * (largestCustomerNodeCount - 1));
    return Math.max(MIN_PERIOD_TICKS,
        senders * (double) Ticks.PER_SECOND / Math.max(1, MAX_INTAKE_FRACTION * intakePerSecond));
  }

  /**
   * Returns how long a peer's message shows which nodes the peer reaches, and that it is reachable
   * itself.
   */
  long validityTicks() {
    return (long) (VALIDITY_PERIODS * periodTicks());
  }

  void recordCounterUnhealthy(long now) {
    unhealthyAtTicks = now;
  }

  /** Returns whether the counter is unhealthy or was so recently. */
  boolean isActive(long now) {
    return isEnabled() && now - unhealthyAtTicks <= LINGER_PERIODS * periodTicks();
  }

  void received(long now) {
    receivedAtTicks = now;
  }

  /** Returns whether peers' reports are fresh enough to decide by. */
  boolean isFresh(long now) {
    return isActive(now) && now - receivedAtTicks <= VALIDITY_PERIODS * periodTicks();
  }

  /** Returns whether a round of messages is due. If so, the next one is due a period later. */
  boolean startRound(long now) {
    if (now - sentAtTicks < periodTicks()) {
      return false;
    }
    sentAtTicks = now;
    return true;
  }
}
