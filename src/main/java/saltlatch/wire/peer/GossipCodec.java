package saltlatch.wire.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import saltlatch.api.GossipMessage;
import saltlatch.api.GossipMessage.Reachability;
import saltlatch.api.GossipMessage.WindowUsage;

/**
 * The form of a gossip datagram: a first byte, then entries of 7 bytes in network byte order: 33
 * bits of the customer, 7 of the window's number, 16 of units in sixteenths. Reachability comes
 * first, in entries under the 16 highest customers, for which no usage is sent, so that nodes that
 * know no reachability pass them over. Such an entry has 23 bits; the first two of all are flags,
 * then one for each node.
 */
public final class GossipCodec {
  static final byte MAGIC_BYTE = 0x51;

  private static final int ENTRY_BYTES = 7;
  private static final int HEAD_BYTES = 5; // of an entry: customer and window
  private static final int MAX_BYTES = 1 + GossipMessage.MAX_ENTRIES * ENTRY_BYTES;
  private static final int WINDOW_BITS = 7;
  private static final int WINDOW_MASK = (1 << WINDOW_BITS) - 1;
  private static final int UNITS_BITS = 16;
  private static final int UNITS_MASK = (1 << UNITS_BITS) - 1;
  private static final double FRACTIONS_PER_UNIT = 16;
  private static final long CUSTOMERS = 1L << 33;
  private static final long FIRST_REACHABILITY_CUSTOMER = CUSTOMERS - 16;
  private static final int BITS_PER_ENTRY = GossipMessage.NODES_PER_ENTRY;
  private static final int HOLDS_LEASE_BIT = 0;
  private static final int HOLDS_TAKEOVER_BIT = 1;
  private static final int FIRST_NODE_BIT = 2;

  private GossipCodec() {}

  /** The datagram of a message; usage beyond what it holds is left out. */
  public static byte[] encode(GossipMessage message) {
    byte[] bytes = new byte[MAX_BYTES];
    bytes[0] = MAGIC_BYTE;
    int at = 1;
    if (message.reachability() != null)
      at = putReachability(bytes, at, toBits(message.reachability()));
    for (WindowUsage usage : message.usage()) {
      if (at + ENTRY_BYTES > bytes.length) break;
      long customer = usage.customer() & CUSTOMERS - 1;
      if (customer < FIRST_REACHABILITY_CUSTOMER)
        at = putEntry(bytes, at, customer, usage.windowNumber(), toFractions(usage.units()));
    }
    return Arrays.copyOf(bytes, at);
  }

  private static int putReachability(byte[] bytes, int from, BitSet bits) {
    int at = from;
    for (int entry = 0; entry * BITS_PER_ENTRY < bits.length(); entry++) {
      int part = 0;
      for (int bit = 0; bit < BITS_PER_ENTRY; bit++)
        part |= bits.get(entry * BITS_PER_ENTRY + bit) ? 1 << bit : 0;
      at = putEntry(bytes, at, FIRST_REACHABILITY_CUSTOMER + entry, part >>> UNITS_BITS,
          part & UNITS_MASK);
    }
    return at;
  }

  private static BitSet toBits(Reachability reachability) {
    BitSet bits = new BitSet();
    bits.set(HOLDS_LEASE_BIT, reachability.holdsLease());
    bits.set(HOLDS_TAKEOVER_BIT, reachability.holdsTakeover());
    reachability.reachableNodes().stream()
        .filter(node -> node < GossipMessage.MAX_NODES_WITH_REACHABILITY)
        .forEach(node -> bits.set(FIRST_NODE_BIT + node));
    return bits;
  }

  private static int toFractions(double units) {
    return (int) Math.max(0, Math.min(UNITS_MASK, Math.round(units * FRACTIONS_PER_UNIT)));
  }

  /** Gives where the next entry begins. */
  private static int putEntry(byte[] bytes, int at, long customer, int window, int units) {
    long head = customer << WINDOW_BITS | window;
    for (int i = 0; i < HEAD_BYTES; i++)
      bytes[at + i] = (byte) (head >>> (Byte.SIZE * (HEAD_BYTES - 1 - i)));
    bytes[at + HEAD_BYTES] = (byte) (units >>> Byte.SIZE);
    bytes[at + HEAD_BYTES + 1] = (byte) units;
    return at + ENTRY_BYTES;
  }

  /**
   * Reads a datagram; null if it is no gossip datagram. That costs this datagram only, since each
   * stands for itself.
   */
  public static GossipMessage decode(byte[] bytes) {
    if (!hasForm(bytes)) return null;
    List<WindowUsage> usage = new ArrayList<>();
    BitSet bits = null; // of the reachability, which a node may leave out
    for (int at = 1; at < bytes.length; at += ENTRY_BYTES) {
      long head = unsigned(bytes, at, HEAD_BYTES);
      int units = (int) unsigned(bytes, at + HEAD_BYTES, ENTRY_BYTES - HEAD_BYTES);
      long customer = head >>> WINDOW_BITS;
      int window = (int) (head & WINDOW_MASK);
      if (customer < FIRST_REACHABILITY_CUSTOMER) {
        usage.add(new WindowUsage(customer, window, units / FRACTIONS_PER_UNIT));
      } else {
        if (bits == null) bits = new BitSet();
        int entry = (int) (customer - FIRST_REACHABILITY_CUSTOMER);
        addBits(bits, entry * BITS_PER_ENTRY, window << UNITS_BITS | units);
      }
    }
    return new GossipMessage(usage, bits == null ? null : toReachability(bits));
  }

  private static boolean hasForm(byte[] bytes) {
    return bytes.length > 0 && bytes.length <= MAX_BYTES && bytes[0] == MAGIC_BYTE
        && (bytes.length - 1) % ENTRY_BYTES == 0;
  }

  private static long unsigned(byte[] bytes, int from, int count) {
    long value = 0;
    for (int i = 0; i < count; i++)
      value = value << Byte.SIZE | Byte.toUnsignedInt(bytes[from + i]);
    return value;
  }

  private static void addBits(BitSet bits, int from, int part) {
    for (int bit = 0; bit < BITS_PER_ENTRY; bit++)
      if ((part >>> bit & 1) != 0) bits.set(from + bit);
  }

  private static Reachability toReachability(BitSet bits) {
    BitSet nodes = bits.get(FIRST_NODE_BIT, Math.max(FIRST_NODE_BIT, bits.length()));
    return new Reachability(nodes, bits.get(HOLDS_LEASE_BIT), bits.get(HOLDS_TAKEOVER_BIT));
  }
}
