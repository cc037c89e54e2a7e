package saltlatch.policy;

import saltlatch.api.Ticks;
import saltlatch.membership.QuotaShares;

/**
 * When this node gossips, and for how long peers' gossip is fresh. Times are ticks.
 *
 * <p>Gossip is active while the counter is not healthy and some periods longer, since peers may
 * still be without it. Messages go out once a period. Gossip is fresh if any peer was received from
 * lately.
 *
 * <p>Guards against gossip that overloads its receivers where many nodes share customers: their
 * sockets would drop datagrams, which shows as peers that seem cut off. The period grows with the
 * number of nodes that may gossip to one, so that all together stay within a part of what a node
 * takes in. Harms by older reports in large fleets.
 */
final class GossipSchedule {
  /** A time before any other. */
  static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  /** Part of the datagrams that a node takes in which gossip may use. */
  static final double MAX_INTAKE_FRACTION = 0.5;

  /** Quotas refill less than a burst in this time. */
  private static final double MIN_PERIOD_TICKS = Ticks.PER_SECOND;

  /** Periods without any message after which peers' reports are stale. */
  private static final double VALIDITY_PERIODS = 3;

  /** Periods of gossip after the counter was last unhealthy. */
  private static final double LINGER_PERIODS = 5;

  private final int nodeCount;
  private final double intakePerSecond;
  private int largestCustomerNodeCount = 1;
  private long unhealthyAtTicks = NEVER_TICKS;
  private long receivedAtTicks = NEVER_TICKS;
  private long sentAtTicks = NEVER_TICKS;
  private QuotaShares shares; // null: nodes do not know each other

  /** @param intakePerSecond datagrams a second that a node takes in of its peers; 0: no gossip */
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

  /** Notes over how many nodes a customer is spread. */
  void recordCustomerNodeCount(int nodes) {
    largestCustomerNodeCount = Math.max(largestCustomerNodeCount, nodes);
  }

  /** Nodes of the widest customer's set. */
  int largestCustomerNodeCount() {
    return largestCustomerNodeCount;
  }

  /**
   * Time between two rounds of messages. The nodes that share customers with this one are at most
   * twice the widest set, and all may send at once.
   */
  double periodTicks() {
    int nodes = shares == null ? nodeCount : shares.divisorNodeCount();
    int senders = Math.min(nodes - 1, 2 * (largestCustomerNodeCount - 1));
    return Math.max(MIN_PERIOD_TICKS,
        senders * (double) Ticks.PER_SECOND / Math.max(1, MAX_INTAKE_FRACTION * intakePerSecond));
  }

  /** How long a peer's message says which nodes it reaches, and that it is reachable itself. */
  long validityTicks() {
    return (long) (VALIDITY_PERIODS * periodTicks());
  }

  void recordCounterUnhealthy(long now) {
    unhealthyAtTicks = now;
  }

  /** Whether the counter is, or was lately, unhealthy. */
  boolean isActive(long now) {
    return isEnabled() && now - unhealthyAtTicks <= LINGER_PERIODS * periodTicks();
  }

  void received(long now) {
    receivedAtTicks = now;
  }

  /** Whether peers' reports are fresh enough to go by. */
  boolean isFresh(long now) {
    return isActive(now) && now - receivedAtTicks <= VALIDITY_PERIODS * periodTicks();
  }

  /** Whether a round of messages is due; the next one is then due a period later. */
  boolean startRound(long now) {
    if (now - sentAtTicks < periodTicks()) {
      return false;
    }
    sentAtTicks = now;
    return true;
  }
}
