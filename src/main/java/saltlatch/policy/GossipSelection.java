package saltlatch.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GossipMessage.WindowUsage;

/**
 * Which of this node's sums a peer gets: those of customers whose set of nodes holds the peer, the
 * latest change first, as many as a datagram takes.
 *
 * <p>A sum is what this node admitted of a customer in a window so far, in units, not a step.
 * Guards against datagrams that are lost or overtake each other: the next sum makes up for it.
 */
final class GossipSelection {
  private record OwnUsage(WindowUsage usage, int firstNode, int nodeCount) {}

  private final int ownIndex;
  private final int nodeCount;
  private final Map<Long, OwnUsage> changedByWindow = new LinkedHashMap<>(); // in order of change

  GossipSelection(int ownIndex, int nodeCount) {
    this.ownIndex = ownIndex;
    this.nodeCount = nodeCount;
  }

  /** Notes a sum that has changed since the last round of messages. */
  void put(long counterName, WindowUsage usage, int firstNode, int customerNodeCount) {
    changedByWindow.remove(counterName);
    changedByWindow.put(counterName, new OwnUsage(usage, firstNode, customerNodeCount));
  }

  void clear() {
    changedByWindow.clear();
  }

  /** The sums that concern a peer, the latest first. */
  List<WindowUsage> forPeer(int peer, int maxEntries) {
    List<OwnUsage> changed = new ArrayList<>(changedByWindow.values());
    List<WindowUsage> selected = new ArrayList<>();
    for (int i = changed.size() - 1; i >= 0 && selected.size() < maxEntries; i--) {
      OwnUsage own = changed.get(i);
      if (Math.floorMod(peer - own.firstNode(), nodeCount) < own.nodeCount()) {
        selected.add(own.usage());
      }
    }
    return selected;
  }

  /**
   * Whether a peer may share customers with this node, so that it gets a message without sums too:
   * silence would look like a node that is cut off.
   *
   * @param largestCustomerNodeCount nodes of the widest customer's set
   */
  boolean mayShareCustomers(int peer, int largestCustomerNodeCount) {
    int steps = Math.floorMod(peer - ownIndex, nodeCount);
    return Math.min(steps, nodeCount - steps) < largestCustomerNodeCount;
  }
}
