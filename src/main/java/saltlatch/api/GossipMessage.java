package saltlatch.api;

import java.util.BitSet;
import java.util.List;

/**
 * What one node sends to a peer while the counter is unhealthy. It fits one datagram.
 *
 * @param usage        units that the sender has admitted, for windows that concern the peer; empty:
 *     it has admitted none
 * @param reachability where nodes know each other; null from a node that doesn't send it
 */
public record GossipMessage(List<WindowUsage> usage, Reachability reachability) {
  /** Entries that a datagram holds. */
  public static final int MAX_ENTRIES = 36;
  /** Nodes whose reachability takes the place of one entry. */
  public static final int NODES_PER_ENTRY = 23;
  /** Larger fleets don't send reachability. */
  public static final int MAX_NODES_WITH_REACHABILITY = 16 * NODES_PER_ENTRY - 2;

  /**
   * Units that the sender has admitted of a customer in one window, since the window began.
   *
   * @param windowNumber the window's number modulo 128
   */
  public record WindowUsage(long customer, int windowNumber, double units) {}

  /**
   * What the sender knows of the fleet.
   *
   * @param reachableNodes the nodes whose gossip it receives, itself among them
   * @param holdsLease     whether it uses its whole share of quotas
   * @param holdsTakeover  whether it uses besides what members that are gone left of theirs
   */
  public record Reachability(BitSet reachableNodes, boolean holdsLease, boolean holdsTakeover) {}

  /** Entries left for usage in a fleet of so many nodes that send reachability. */
  public static int maxUsageEntries(int nodes) {
    return MAX_ENTRIES - (nodes > MAX_NODES_WITH_REACHABILITY ? 0
        : (nodes + 2 + NODES_PER_ENTRY - 1) / NODES_PER_ENTRY);
  }
}
