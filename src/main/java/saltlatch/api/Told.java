package saltlatch.api;

import java.util.BitSet;
import java.util.List;

/**
 * What one node tells another while the counter is not well: units that it passed, and, where nodes know each other, whom it
 * hears. No sums: it passed nothing that concerns the other. {@code hearing} is null from a node that does not say.
 */
public record Told(List<Sum> sums, Hearing hearing) {
  public static final int ENTRIES = 36; // that a datagram holds
  public static final int TOLD_OF = 23; // nodes whose hearing one entry tells
  public static final int MOST_NODES = 16 * TOLD_OF - 2; // in larger fleets hearing is not told

  /** Units that one node passed of a customer in one window, by the window's number modulo 128, so far. */
  public record Sum(long customer, int turn, double units) {}

  /**
   * Whom the sender hears, itself among them; whether it uses its whole share of quotas, and besides what members that are
   * gone left of theirs.
   */
  public record Hearing(BitSet nodes, boolean holds, boolean takes) {}

  /** Entries left for sums in a fleet of so many nodes whose members tell whom they hear. */
  public static int sumsBeside(int nodes) {
    return ENTRIES - (nodes > MOST_NODES ? 0 : (nodes + 2 + TOLD_OF - 1) / TOLD_OF);
  }
}
