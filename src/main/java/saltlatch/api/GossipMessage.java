package saltlatch.api;

import java.util.BitSet;
import java.util.List;

/**
 * A message from one node to a peer while the counter is unhealthy. It fits in one datagram.
 *
 * @param usage        units that the sender has admitted in windows that concern the peer; empty if
 *     it has admitted none
 * @param reachability the nodes that the sender reaches, if membership is enabled; null from a node
 *     that does not send it
 */
public record GossipMessage(List<WindowUsage> usage, Reachability reachability) {
  /** The maximum number of entries in a datagram. */
  public static final int MAX_ENTRIES = 36;
  /** Number of nodes whose reachability takes up the space of one entry. */
  public static final int NODES_PER_ENTRY = 23;
  /** The largest fleet whose nodes send reachability. */
  public static final int MAX_NODES_WITH_REACHABILITY = 16 * NODES_PER_ENTRY - 2;

  /**
   * The units of a customer that the sender has admitted in one window, since the start of the
   * window.
   *
   * @param windowNumber the window's number modulo 128
   */
  public record WindowUsage(long customer, int windowNumber, double units) {}

  /**
   * The fleet as the sender sees it.
   *
   * @param reachableNodes the nodes whose gossip the sender receives, including the sender
   * @param holdsLease     whether the sender uses its full share of quotas
   * @param holdsTakeover  whether the sender also uses its part of the shares that were taken over
   */
  public record Reachability(BitSet reachableNodes, boolean holdsLease, boolean holdsTakeover) {}

  /**
   * Returns how many entries for usage a datagram holds in a fleet of this many nodes, if they send
   * reachability.
   */
  public static int maxUsageEntries(int nodes) {
    return MAX_ENTRIES - (nodes > MAX_NODES_WITH_REACHABILITY ? 0
        : (nodes + 2 + NODES_PER_ENTRY - 1) / NODES_PER_ENTRY);
  }
}
