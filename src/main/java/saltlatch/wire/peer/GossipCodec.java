package saltlatch.wire.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import saltlatch.api.GossipMessage;

/**
 * The form of a datagram of sums: a byte, then entries of 7 bytes each: 33 bits of the customer, 7
 * of the window's number, 16 of units. Whom the sender hears goes in entries of its own under
 * customers' ids that no sum is told of (the highest 16), so that nodes from before, which know
 * none of these, pass them over.
 */
public final class GossipCodec {
  static final byte FIRST_BYTE = 0x51;
  private static final int ENTRY = 7;
  private static final double GRAIN = 16; // parts of a unit that sums are told in
  private static final long CUSTOMERS = 1L << 33;
  // from this customer on an entry is of the nodes heard
  private static final long HEARING = CUSTOMERS - 16;
  private static final int FLAGS = 2; // bits of the first such entry: holds, takes; each has 23
  private static final int BITS = GossipMessage.NODES_PER_ENTRY;

  private GossipCodec() {}

  public static byte[] encode(GossipMessage told) {
    byte[] words = new byte[1 + GossipMessage.MAX_ENTRIES * ENTRY];
    words[0] = FIRST_BYTE;
    int at = 1;
    if (told.reachability() != null) {
      BitSet bits = bits(told.reachability());
      for (int i = 0; i * BITS < bits.length(); i++) {
        int part = 0;
        for (int b = 0; b < BITS; b++) part |= bits.get(i * BITS + b) ? 1 << b : 0;
        at = entry(words, at, HEARING + i, part >>> 16, part & 0xffff);
      }
    }
    for (GossipMessage.WindowUsage s : told.usage()) {
      if (at + ENTRY > words.length) break;
      int units = (int) Math.max(0, Math.min(0xffff, Math.round(s.units() * GRAIN)));
      long customer = s.customer() & CUSTOMERS - 1;
      if (customer < HEARING) at = entry(words, at, customer, s.windowNumber(), units);
    }
    return Arrays.copyOf(words, at);
  }

  private static BitSet bits(GossipMessage.Reachability h) {
    BitSet bits = new BitSet();
    bits.set(0, h.holdsLease());
    bits.set(1, h.holdsTakeover());
    h.reachableNodes().stream().filter(n -> n < GossipMessage.MAX_NODES_WITH_REACHABILITY)
        .forEach(n -> bits.set(n + FLAGS));
    return bits;
  }

  private static int entry(byte[] words, int at, long customer, int turn, int units) {
    long head = customer << 7 | turn;
    for (int i = 0; i < 5; i++) words[at + i] = (byte) (head >>> 8 * (4 - i));
    words[at + 5] = (byte) (units >>> 8);
    words[at + 6] = (byte) units;
    return at + ENTRY;
  }

  /** Null for what is not of this form. */
  public static GossipMessage decode(byte[] words) {
    if (words.length == 0 || words.length > 1 + GossipMessage.MAX_ENTRIES * ENTRY
        || words[0] != FIRST_BYTE || (words.length - 1) % ENTRY != 0) {
      return null;
    }
    List<GossipMessage.WindowUsage> sums = new ArrayList<>();
    BitSet bits = null;
    for (int at = 1; at < words.length; at += ENTRY) {
      long head = 0;
      for (int i = 0; i < 5; i++) head = head << 8 | words[at + i] & 0xff;
      int units = (words[at + 5] & 0xff) << 8 | words[at + 6] & 0xff;
      long customer = head >>> 7;
      int turn = (int) (head & 0x7f);
      if (customer < HEARING) {
        sums.add(new GossipMessage.WindowUsage(customer, turn, units / GRAIN));
        continue;
      }
      if (bits == null) bits = new BitSet();
      int part = turn << 16 | units;
      for (int b = 0; b < BITS; b++)
        if ((part >>> b & 1) != 0) bits.set((int) (customer - HEARING) * BITS + b);
    }
    return new GossipMessage(sums, bits == null ? null : new GossipMessage.Reachability(
        bits.get(FLAGS, Math.max(FLAGS, bits.length())), bits.get(0), bits.get(1)));
  }
}
