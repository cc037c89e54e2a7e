package saltlatch.wire.peer;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import saltlatch.api.GossipMessage;
import saltlatch.api.GossipMessage.Reachability;
import saltlatch.api.GossipMessage.WindowUsage;

/**
 * Encodes and decodes gossip datagrams: a magic byte, then entries of 7 bytes in network byte
 * order, with 33 bits for the customer, 7 for the window number and 16 for units in sixteenths.
 * Reachability precedes usage, in entries for the 16 highest customer numbers, for which no usage
 * is sent; nodes that do not support reachability ignore these entries. Each of them carries 23
 * bits of reachability: over all entries, two flags and then one bit per node.
 */
public final class GossipCodec {
  static final byte MAGIC_BYTE = 0x51;

  private static final int ENTRY_BYTES = 7;
  private static final int HEAD_BYTES = 5; // customer and window number of an entry
  private static final int MAX_BYTES = 1 + GossipMessage.MAX_ENTRIES * ENTRY_BYTES;
  private static final int WINDOW_BITS = 7;
  private static final int WINDOW_MASK = (1 << WINDOW_BITS) - 1;
  private static final int UNITS_BITS = 16;
  private static final int UNITS_MASK = (1 << UNITS_BITS) - 1;
  private static final double FRACTIONS_PER_UNIT = 16;
  private static final long CUSTOMER_COUNT = 1L << 33;
  private static final long FIRST_REACHABILITY_CUSTOMER = CUSTOMER_COUNT - 16;
  private static final int BITS_PER_ENTRY = GossipMessage.NODES_PER_ENTRY;
  private static final int HOLDS_LEASE_BIT = 0;
  private static final int HOLDS_TAKEOVER_BIT = 1;
  private static final int FIRST_NODE_BIT = 2;

  private GossipCodec() {}

  /** Returns the datagram of a message; usage that does not fit is left out. */
  public static byte[] encode(GossipMessage message) {
    byte[] bytes = new byte[MAX_BYTES];
    bytes[0] = MAGIC_BYTE;
    int offset = 1;
    if (message.reachability() != null)
      offset = putReachability(bytes, offset, toBits(message.reachability()));
    for (WindowUsage usage : message.usage()) {
      if (offset + ENTRY_BYTES > bytes.length) break;
      long customer = usage.customer() & CUSTOMER_COUNT - 1;
      if (customer < FIRST_REACHABILITY_CUSTOMER) offset = putEntry(bytes, offset, customer,
          usage.windowNumber(), toFractions(usage.units()));
    }
    return Arrays.copyOf(bytes, offset);
  }

  private static int putReachability(byte[] bytes, int from, BitSet bits) {
    int offset = from;
    for (int entry = 0; entry * BITS_PER_ENTRY < bits.length(); entry++) {
      int entryBits = 0;
      for (int bit = 0; bit < BITS_PER_ENTRY; bit++)
        entryBits |= bits.get(entry * BITS_PER_ENTRY + bit) ? 1 << bit : 0;
      offset = putEntry(bytes, offset, FIRST_REACHABILITY_CUSTOMER + entry,
          entryBits >>> UNITS_BITS, entryBits & UNITS_MASK);
    }
    return offset;
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

  /** Writes an entry and returns the offset of the next one. */
  private static int putEntry(byte[] bytes, int offset, long customer, int window, int units) {
    long head = customer << WINDOW_BITS | window;
    for (int i = 0; i < HEAD_BYTES; i++)
      bytes[offset + i] = (byte) (head >>> (Byte.SIZE * (HEAD_BYTES - 1 - i)));
    bytes[offset + HEAD_BYTES] = (byte) (units >>> Byte.SIZE);
    bytes[offset + HEAD_BYTES + 1] = (byte) units;
    return offset + ENTRY_BYTES;
  }

  /**
   * Decodes a datagram; returns null if it is not a gossip datagram. Only that datagram is lost,
   * because datagrams do not depend on each other.
   */
  public static GossipMessage decode(byte[] bytes) {
    if (!isGossip(bytes)) return null;
    List<WindowUsage> usage = new ArrayList<>();
    BitSet bits = null; // of the reachability; null: the datagram has none
    for (int offset = 1; offset < bytes.length; offset += ENTRY_BYTES) {
      long head = readUnsigned(bytes, offset, HEAD_BYTES);
      int units = (int) readUnsigned(bytes, offset + HEAD_BYTES, ENTRY_BYTES - HEAD_BYTES);
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

  private static boolean isGossip(byte[] bytes) {
    return bytes.length > 0 && bytes.length <= MAX_BYTES && bytes[0] == MAGIC_BYTE
        && (bytes.length - 1) % ENTRY_BYTES == 0;
  }

  private static long readUnsigned(byte[] bytes, int from, int count) {
    long value = 0;
    for (int i = 0; i < count; i++)
      value = value << Byte.SIZE | Byte.toUnsignedInt(bytes[from + i]);
    return value;
  }

  private static void addBits(BitSet bits, int from, int entryBits) {
    for (int bit = 0; bit < BITS_PER_ENTRY; bit++)
      if ((entryBits >>> bit & 1) != 0) bits.set(from + bit);
  }

  private static Reachability toReachability(BitSet bits) {
    BitSet nodes = bits.get(FIRST_NODE_BIT, Math.max(FIRST_NODE_BIT, bits.length()));
    return new Reachability(nodes, bits.get(HOLDS_LEASE_BIT), bits.get(HOLDS_TAKEOVER_BIT));
  }
}
