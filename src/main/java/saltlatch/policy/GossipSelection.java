package saltlatch.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.api.GossipMessage.WindowUsage;

/**
 * Selects which of this node's sums are sent to a peer: the sums of customers whose requests the
 * peer also receives, the most recently changed first, limited to what fits in a datagram.
 *
 * <p>A sum is the total that this node has admitted of a customer in a window so far, in units, not
 * an increment. Guards against datagrams that are lost or reordered: the next sum corrects for
 * them.
 */
final class GossipSelection {
  private record OwnUsage(WindowUsage usage, int firstNode, int nodeCount) {}

  /**
   * More than a node admits between two rounds of messages. Guards against ever new customers: each
   * round visits all sums for each peer.
   */
  private static final int MAX_CHANGED_SUMS = 1_024;

  private final int ownIndex;
  private final int nodeCount;
  private final Map<Long, OwnUsage> changedByWindow = new LinkedHashMap<>(); // in order of change

  GossipSelection(int ownIndex, int nodeCount) {
    this.ownIndex = ownIndex;
    this.nodeCount = nodeCount;
  }

  /** Records a sum that has changed since the last round; the oldest makes room for it. */
  void put(long counterName, WindowUsage usage, int firstNode, int customerNodeCount) {
    changedByWindow.remove(counterName);
    changedByWindow.put(counterName, new OwnUsage(usage, firstNode, customerNodeCount));
    if (changedByWindow.size() > MAX_CHANGED_SUMS) {
      changedByWindow.remove(changedByWindow.keySet().iterator().next());
    }
  }

  void clear() {
    changedByWindow.clear();
  }

  /** Returns the sums that concern a peer, the most recently changed first. */
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
   * Returns whether a peer may share customers with this node. Such a peer receives a message even
   * if no sum concerns it, because without one this node would appear to be unreachable.
   *
   * @param largestCustomerNodeCount the largest number of nodes that receive one customer's
   *     requests
   */
  boolean mayShareCustomers(int peer, int largestCustomerNodeCount) {
    int distance = Math.floorMod(peer - ownIndex, nodeCount);
    return Math.min(distance, nodeCount - distance) < largestCustomerNodeCount;
  }
}
