package saltlatch.api;

import java.util.BitSet;
import java.util.List;

/**
 * What one node tells another while the counter is not well: units that it passed, and, where nodes
 * know each other, whom it hears. No sums: it passed nothing that concerns the other.
 * {@code reachability} is null from a node that does not say.
 */
public record GossipMessage(List<WindowUsage> usage, Reachability reachability) {
  public static final int MAX_ENTRIES = 36; // that a datagram holds
  public static final int NODES_PER_ENTRY = 23; // nodes whose hearing one entry tells
  // in larger fleets hearing is not told
  public static final int MAX_NODES_WITH_REACHABILITY = 16 * NODES_PER_ENTRY - 2;

  /**
   * Units that one node passed of a customer in one window, by the window's number modulo 128, so
   * far.
   */
  public record WindowUsage(long customer, int windowNumber, double units) {}

  /**
   * Whom the sender hears, itself among them; whether it uses its whole share of quotas, and
   * besides what members that are gone left of theirs.
   */
  public record Reachability(BitSet reachableNodes, boolean holdsLease, boolean holdsTakeover) {}

  /** Entries left for sums in a fleet of so many nodes whose members tell whom they hear. */
  public static int maxUsageEntries(int nodes) {
    return MAX_ENTRIES - (nodes > MAX_NODES_WITH_REACHABILITY ? 0
        : (nodes + 2 + NODES_PER_ENTRY - 1) / NODES_PER_ENTRY);
  }
}
