package saltlatch.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GossipMessage;
import saltlatch.membership.QuotaShares;

/**
 * Exchanges quota usage with peers: while the counter cannot serve a call for each request, nodes
 * report to each other the units that they admitted for each customer in each window.
 *
 * <p>{@link GossipSchedule} decides when messages are sent and {@link GossipSelection} what each
 * peer receives; this class builds the messages and processes those that arrive. It does no I/O and
 * reads no clock: {@link PolicyEngine} sends the messages that are due and {@link QuotaManager}
 * charges the reported usage. Times are in ticks, amounts in units.
 */
final class QuotaGossip {
  /** Largest datagram that the protocol allows. */
  static final int MAX_DATAGRAM_BYTES = 256;

  /** Size of one reported sum in a datagram. */
  private static final int ENTRY_BYTES = 7;

  /**
   * Largest cost of gossip as a fraction of the value of all requests, if every attempt is
   * reported.
   */
  private static final double MAX_PRICE = 0.02;

  /** Messages contain window numbers modulo this. */
  private static final long WINDOW_NUMBER_MODULUS = 128;

  private final int ownIndex;
  private final int nodeCount;
  /**
   * Largest number of nodes of a customer for which usage is reported. With more nodes the reports
   * cost more than they are worth.
   */
  private final double maxCustomerNodeCount;
  private final GossipSchedule schedule;
  private final GossipSelection selection;
  private QuotaShares shares; // null while membership is disabled

  /**
   * @param intakePerSecond datagrams per second that a node accepts from its peers; 0 disables
   *     gossip
   * @param datagramPrice   price of delivering one full datagram for each client's first attempt,
   *     as a fraction of the value of all requests
   */
  QuotaGossip(int ownIndex, int nodeCount, double intakePerSecond, double datagramPrice) {
    this.ownIndex = ownIndex;
    this.nodeCount = nodeCount;
    maxCustomerNodeCount = datagramPrice <= 0 ? nodeCount
        : 1 + MAX_PRICE / datagramPrice * MAX_DATAGRAM_BYTES / ENTRY_BYTES;
    schedule = new GossipSchedule(nodeCount, intakePerSecond);
    selection = new GossipSelection(ownIndex, nodeCount);
  }

  /**
   * Enables membership: from now on messages are sent only to live members and list the nodes from
   * which this node receives gossip.
   */
  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
    schedule.setQuotaShares(fleetShares);
  }

  /** Returns the time between two rounds of messages. */
  double periodTicks() {
    return schedule.periodTicks();
  }

  /**
   * Returns how long a peer's message remains valid as evidence that the peer is reachable and of
   * the nodes that it reaches.
   */
  long validityTicks() {
    return schedule.validityTicks();
  }

  /** Keeps gossip active; the engine calls this whenever the counter is not healthy. */
  void recordCounterUnhealthy(long now) {
    schedule.recordCounterUnhealthy(now);
  }

  /**
   * Returns whether the peers' reports on a customer with this number of nodes are recent enough to
   * decide by.
   */
  boolean isUsageFresh(long now, int customerNodeCount) {
    return customerNodeCount <= maxCustomerNodeCount && schedule.isFresh(now);
  }

  /** Records the units that this node has admitted in a window so far. */
  void recordAdmitted(long counterName, long customerId, long windowNumber, int firstNode,
      int customerNodeCount, double units) {
    if (!schedule.isEnabled() || customerNodeCount > maxCustomerNodeCount) {
      return;
    }
    schedule.recordCustomerNodeCount(customerNodeCount);
    int shortNumber = (int) Math.floorMod(windowNumber, WINDOW_NUMBER_MODULUS);
    selection.put(counterName, new GossipMessage.WindowUsage(customerId, shortNumber, units),
        firstNode, customerNodeCount);
  }

  /**
   * Returns the full number of a peer's window: the latest one up to the current window that
   * equals the short number modulo {@link #WINDOW_NUMBER_MODULUS}.
   */
  static long fullWindowNumber(long currentNumber, int shortNumber) {
    return currentNumber - Math.floorMod(currentNumber - shortNumber, WINDOW_NUMBER_MODULUS);
  }

  /** Returns the messages that are due now by peer, in the order in which to send them. */
  Map<Integer, GossipMessage> dueMessages(long now) {
    if (!schedule.isActive(now)) {
      selection.clear();
      return Map.of();
    }
    if (!schedule.startRound(now)) {
      return Map.of();
    }
    Map<Integer, GossipMessage> messages = messages(now);
    selection.clear();
    return messages;
  }

  private Map<Integer, GossipMessage> messages(long now) {
    Map<Integer, GossipMessage> messages = new LinkedHashMap<>();
    GossipMessage.Reachability reachability = shares == null ? null
        : shares.reachability(now, validityTicks());
    int maxEntries = reachability == null ? GossipMessage.MAX_ENTRIES
        : GossipMessage.maxUsageEntries(nodeCount);
    for (int offset = 1; offset < nodeCount; offset++) {
      int peer = (ownIndex + offset) % nodeCount;
      if (shares != null && !shares.isLive(peer)) {
        continue;
      }
      List<GossipMessage.WindowUsage> usage = selection.forPeer(peer, maxEntries);
      if (!usage.isEmpty()
          || selection.mayShareCustomers(peer, schedule.largestCustomerNodeCount())) {
        messages.put(peer, new GossipMessage(usage, reachability));
      }
    }
    return messages;
  }

  /** Processes a peer's message and returns its sums; an empty list for an unknown sender. */
  List<GossipMessage.WindowUsage> receive(long now, int sender, GossipMessage message) {
    if (sender < 0 || sender >= nodeCount || sender == ownIndex) {
      return List.of();
    }
    schedule.received(now);
    if (shares != null) {
      shares.recordGossip(now, sender, message.reachability());
    }
    return message.usage();
  }
}
