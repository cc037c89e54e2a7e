package saltlatch.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GossipMessage;
import saltlatch.membership.QuotaShares;

/**
 * Gossip of quota usage: while the counter cannot take a call for each request, nodes report to
 * each other the units that they admitted of each customer in each window.
 *
 * <p>{@link GossipSchedule} says when, {@link GossipSelection} what each peer gets; this class
 * joins them and takes in what arrives. It does no I/O and reads no clock: {@link PolicyEngine}
 * sends what is due and {@link QuotaManager} charges what peers report. Times are ticks, amounts
 * units.
 */
final class QuotaGossip {
  /** Bytes of a datagram, by the protocol. */
  static final int MAX_DATAGRAM_BYTES = 256;

  /** Bytes that one sum takes of a datagram. */
  private static final int ENTRY_BYTES = 7;

  /** Part of the worth of all requests that gossip may cost, if every attempt is reported. */
  private static final double MAX_PRICE = 0.02;

  /** Windows' numbers travel modulo this. */
  private static final long WINDOW_NUMBER_MODULUS = 128;

  private final int ownIndex;
  private final int nodeCount;
  /** Nodes of a customer's set; a wider one costs more to report than it brings. */
  private final double maxCustomerNodeCount;
  private final GossipSchedule schedule;
  private final GossipSelection selection;
  private QuotaShares shares; // null: nodes do not know each other

  /**
   * @param intakePerSecond datagrams a second that a node takes in of its peers; 0: no gossip
   * @param datagramPrice   price of a full datagram for each first attempt, as a part of all worth
   */
  QuotaGossip(int ownIndex, int nodeCount, double intakePerSecond, double datagramPrice) {
    this.ownIndex = ownIndex;
    this.nodeCount = nodeCount;
    maxCustomerNodeCount = datagramPrice <= 0 ? nodeCount
        : 1 + MAX_PRICE / datagramPrice * MAX_DATAGRAM_BYTES / ENTRY_BYTES;
    schedule = new GossipSchedule(nodeCount, intakePerSecond);
    selection = new GossipSelection(ownIndex, nodeCount);
  }

  /** Nodes know each other from now on: messages go to live members and say who is reachable. */
  void setQuotaShares(QuotaShares fleetShares) {
    shares = fleetShares;
    schedule.setQuotaShares(fleetShares);
  }

  /** Time between two rounds of messages. */
  double periodTicks() {
    return schedule.periodTicks();
  }

  /** How long a peer's message says which nodes it reaches, and that it is reachable itself. */
  long validityTicks() {
    return schedule.validityTicks();
  }

  /** Reported by the engine whenever the counter is not healthy. */
  void recordCounterUnhealthy(long now) {
    schedule.recordCounterUnhealthy(now);
  }

  /** Whether peers' reports on a customer of so many nodes are fresh enough to go by. */
  boolean isUsageFresh(long now, int customerNodeCount) {
    return customerNodeCount <= maxCustomerNodeCount && schedule.isFresh(now);
  }

  /** Notes the units that this node admitted in a window so far. */
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

  /** The full number of the window a peer means: the latest one with those last digits. */
  static long fullWindowNumber(long currentNumber, int shortNumber) {
    return currentNumber - Math.floorMod(currentNumber - shortNumber, WINDOW_NUMBER_MODULUS);
  }

  /** The messages that are due now by peer, in the order in which they are to be sent. */
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
    for (int step = 1; step < nodeCount; step++) {
      int peer = (ownIndex + step) % nodeCount;
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

  /** Takes in a peer's message and returns its sums; none of a stranger. */
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
