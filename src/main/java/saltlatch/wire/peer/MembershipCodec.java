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
 * The form of a membership datagram, in network byte order: first byte, version, kind and flag,
 * check sum (4 bytes), sequence number (4), target (2), incarnation (4), digest (8), number of
 * entries (1), then entries of member (2), state (1), incarnation (4) and reporter (2).
 */
public final class MembershipCodec {
  /** No gossip datagram begins with this byte. */
  public static final byte MAGIC_BYTE = (byte) 0xB7;

  private static final byte VERSION = 1;
  private static final int VOUCHES_FLAG = 0x40; // in the byte of the kind
  private static final int KIND_OFFSET = 2;
  private static final int CHECK_SUM_OFFSET = 3;
  private static final int SEQUENCE_OFFSET = 7;
  private static final int HEADER_BYTES = 1 + 1 + 1 + 4 + 4 + 2 + 4 + 8 + 1;
  private static final int ENTRY_BYTES = 2 + 1 + 4 + 2;
  private static final int MAX_ENTRIES = Math.min(MembershipMessage.MAX_UPDATES,
      (PeerSocket.MAX_DATAGRAM_BYTES - HEADER_BYTES) / ENTRY_BYTES);

  private MembershipCodec() {}

  /** The datagram of a message; entries beyond what it holds are left out. */
  public static byte[] encode(MembershipMessage message) {
    int entries = Math.min(message.updates().size(), MAX_ENTRIES);
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + entries * ENTRY_BYTES);
    buffer.put(MAGIC_BYTE);
    buffer.put(VERSION);
    buffer
        .put((byte) (message.kind().code() | (message.grantsLeaseToReceiver() ? VOUCHES_FLAG : 0)));
    buffer.putInt(0); // the check sum is of the bytes with nought in its place
    buffer.putInt(message.sequenceNumber());
    buffer.putShort((short) message.target());
    buffer.putInt((int) message.incarnation());
    buffer.putLong(message.digest());
    buffer.put((byte) entries);
    for (MemberUpdate entry : message.updates().subList(0, entries)) putEntry(buffer, entry);
    return buffer.putInt(CHECK_SUM_OFFSET, checkSum(buffer.array())).array();
  }

  private static void putEntry(ByteBuffer buffer, MemberUpdate entry) {
    buffer.putShort((short) entry.member());
    buffer.put((byte) entry.state().code());
    buffer.putInt((int) entry.incarnation());
    buffer.putShort((short) entry.reporter());
  }

  /**
   * Reads a datagram; null if it is no membership datagram: of another form, cut off, or spoilt.
   * That costs this datagram only, since each stands for itself.
   */
  public static MembershipMessage decode(byte[] bytes) {
    if (bytes.length < HEADER_BYTES || bytes[0] != MAGIC_BYTE || bytes[1] != VERSION) return null;
    byte[] copy = bytes.clone();
    if (!hasCheckSum(copy)) return null;
    ByteBuffer buffer = ByteBuffer.wrap(copy);
    int kindAndFlag = buffer.get(KIND_OFFSET);
    Kind kind = Kind.ofCode(kindAndFlag & ~VOUCHES_FLAG);
    if (kind == null) return null;
    buffer.position(SEQUENCE_OFFSET);
    int sequence = buffer.getInt();
    int target = unsignedShort(buffer);
    long incarnation = unsignedInt(buffer);
    long digest = buffer.getLong();
    List<MemberUpdate> entries = entries(buffer);
    return entries == null ? null : new MembershipMessage(kind, sequence, target, incarnation,
        digest, (kindAndFlag & VOUCHES_FLAG) != 0, entries);
  }

  /**
   * Guards against a datagram that was spoilt on its way: a state or incarnation that nobody sent
   * would spread to all members. Leaves nought in the check sum's place.
   */
  private static boolean hasCheckSum(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    int received = buffer.getInt(CHECK_SUM_OFFSET);
    buffer.putInt(CHECK_SUM_OFFSET, 0);
    return received == checkSum(bytes);
  }

  /** The entries behind their number; null unless they fill the datagram exactly. */
  private static List<MemberUpdate> entries(ByteBuffer buffer) {
    int count = Byte.toUnsignedInt(buffer.get());
    if (buffer.remaining() != count * ENTRY_BYTES) return null;
    List<MemberUpdate> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int member = unsignedShort(buffer);
      State state = State.ofCode(buffer.get());
      if (state == null) return null;
      entries.add(new MemberUpdate(member, state, unsignedInt(buffer), unsignedShort(buffer)));
    }
    return entries;
  }

  private static int unsignedShort(ByteBuffer buffer) {
    return Short.toUnsignedInt(buffer.getShort());
  }

  private static long unsignedInt(ByteBuffer buffer) {
    return Integer.toUnsignedLong(buffer.getInt());
  }

  private static int checkSum(byte[] bytes) {
    CRC32C checkSum = new CRC32C();
    checkSum.update(bytes);
    return (int) checkSum.getValue();
  }
}
