package saltlatch.wire.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * Encodes and decodes membership datagrams. Fields in network byte order, with their size in bytes:
 * magic byte (1), version (1), kind and flag (1), checksum (4), sequence number (4), target (2),
 * incarnation (4), digest (8), number of entries (1), then entries of member (2), state (1),
 * incarnation (4) and reporter (2).
 */
public final class MembershipCodec {
  /** The first byte of each membership datagram; gossip datagrams start with another one. */
  public static final byte MAGIC_BYTE = (byte) 0xB7;

  private static final byte VERSION = 1;
  private static final int GRANTS_LEASE_FLAG = 0x40; // in the byte that holds the kind
  private static final int KIND_OFFSET = 2;
  private static final int CHECKSUM_OFFSET = 3;
  private static final int SEQUENCE_OFFSET = 7;
  private static final int HEADER_BYTES = 1 + 1 + 1 + 4 + 4 + 2 + 4 + 8 + 1;
  private static final int ENTRY_BYTES = 2 + 1 + 4 + 2;
  private static final int MAX_ENTRIES = Math.min(MembershipMessage.MAX_UPDATES,
      (PeerSocket.MAX_DATAGRAM_BYTES - HEADER_BYTES) / ENTRY_BYTES);

  private MembershipCodec() {}

  /** Returns the datagram of a message; entries that do not fit are left out. */
  public static byte[] encode(MembershipMessage message) {
    int entries = Math.min(message.updates().size(), MAX_ENTRIES);
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + entries * ENTRY_BYTES);
    buffer.put(MAGIC_BYTE);
    buffer.put(VERSION);
    buffer.put(
        (byte) (message.kind().code() | (message.grantsLeaseToReceiver() ? GRANTS_LEASE_FLAG : 0)));
    buffer.putInt(0); // the checksum is computed with zero in this field
    buffer.putInt(message.sequenceNumber());
    buffer.putShort((short) message.target());
    buffer.putInt((int) message.incarnation());
    buffer.putLong(message.digest());
    buffer.put((byte) entries);
    for (MemberUpdate entry : message.updates().subList(0, entries)) putEntry(buffer, entry);
    return buffer.putInt(CHECKSUM_OFFSET, checksum(buffer.array())).array();
  }

  private static void putEntry(ByteBuffer buffer, MemberUpdate entry) {
    buffer.putShort((short) entry.member());
    buffer.put((byte) entry.state().code());
    buffer.putInt((int) entry.incarnation());
    buffer.putShort((short) entry.reporter());
  }

  /**
   * Decodes a datagram; returns null if it is not a membership datagram, is truncated or is
   * corrupted. Only that datagram is lost, because datagrams do not depend on each other.
   */
  public static MembershipMessage decode(byte[] bytes) {
    if (bytes.length < HEADER_BYTES || bytes[0] != MAGIC_BYTE || bytes[1] != VERSION) return null;
    byte[] copy = bytes.clone();
    if (!hasValidChecksum(copy)) return null;
    ByteBuffer buffer = ByteBuffer.wrap(copy);
    int kindAndFlag = buffer.get(KIND_OFFSET);
    Kind kind = Kind.ofCode(kindAndFlag & ~GRANTS_LEASE_FLAG);
    if (kind == null) return null;
    buffer.position(SEQUENCE_OFFSET);
    int sequence = buffer.getInt();
    int target = readUnsignedShort(buffer);
    long incarnation = readUnsignedInt(buffer);
    long digest = buffer.getLong();
    List<MemberUpdate> entries = readEntries(buffer);
    return entries == null ? null : new MembershipMessage(kind, sequence, target, incarnation,
        digest, (kindAndFlag & GRANTS_LEASE_FLAG) != 0, entries);
  }

  /**
   * Returns whether the checksum is correct, and sets it to zero in the bytes. Guards against a
   * datagram that was corrupted in transit: a state or incarnation that no member sent would spread
   * to all members.
   */
  private static boolean hasValidChecksum(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    int received = buffer.getInt(CHECKSUM_OFFSET);
    buffer.putInt(CHECKSUM_OFFSET, 0);
    return received == checksum(bytes);
  }

  /**
   * Reads the number of entries and the entries; returns null if they do not fill the datagram
   * exactly or one has an unknown state.
   */
  private static List<MemberUpdate> readEntries(ByteBuffer buffer) {
    int count = Byte.toUnsignedInt(buffer.get());
    if (buffer.remaining() != count * ENTRY_BYTES) return null;
    List<MemberUpdate> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int member = readUnsignedShort(buffer);
      State state = State.ofCode(buffer.get());
      if (state == null) return null;
      entries
          .add(new MemberUpdate(member, state, readUnsignedInt(buffer), readUnsignedShort(buffer)));
    }
    return entries;
  }

  private static int readUnsignedShort(ByteBuffer buffer) {
    return Short.toUnsignedInt(buffer.getShort());
  }

  private static long readUnsignedInt(ByteBuffer buffer) {
    return Integer.toUnsignedLong(buffer.getInt());
  }

  private static int checksum(byte[] bytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes);
    return (int) checksum.getValue();
  }
}
