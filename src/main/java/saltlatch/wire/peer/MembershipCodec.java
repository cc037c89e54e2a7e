package saltlatch.wire.peer;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * The form of a membership datagram: a byte that no datagram of sums begins with, version, kind, a
 * check sum, number, target, incarnation, digest, and pieces of news of 9 bytes each; 243 bytes at
 * the most. Whatever is not of this form costs that datagram only.
 */
public final class MembershipCodec {
  public static final byte FIRST = (byte) 0xB7;
  private static final byte VERSION = 1;
  private static final int VOUCHES = 0x40; // in the byte of the kind
  private static final int HEAD = 1 + 1 + 1 + 4 + 4 + 2 + 4 + 8 + 1;
  private static final int NEWS = 2 + 1 + 4 + 2;
  private static final int LONGEST = 256; // bytes; a longer one voids the run
  private static final Kind[] KINDS = Kind.values();
  private static final State[] STATES = State.values();

  private MembershipCodec() {}

  public static byte[] encode(MembershipMessage m) {
    int n = Math.min(m.updates().size(),
        Math.min(MembershipMessage.MAX_UPDATES, (LONGEST - HEAD) / NEWS));
    ByteBuffer b = ByteBuffer.allocate(HEAD + n * NEWS);
    b.put(FIRST).put(VERSION)
        .put((byte) (m.kind().ordinal() | (m.vouchesForReceiver() ? VOUCHES : 0))).putInt(0)
        .putInt(m.sequenceNumber()).putShort((short) m.target()).putInt((int) m.incarnation())
        .putLong(m.digest()).put((byte) n);
    for (int i = 0; i < n; i++) {
      MemberUpdate x = m.updates().get(i);
      b.putShort((short) x.member()).put((byte) x.state().ordinal()).putInt((int) x.incarnation())
          .putShort((short) x.reporter());
    }
    return b.putInt(3, sum(b.array())).array();
  }

  /** Null for what is no membership datagram: another's, truncated, spoilt. */
  public static MembershipMessage decode(byte[] bytes) {
    if (bytes.length < HEAD || bytes[0] != FIRST || bytes[1] != VERSION) return null;
    ByteBuffer b = ByteBuffer.wrap(bytes.clone());
    int told = b.getInt(3);
    b.putInt(3, 0);
    if (told != sum(b.array())) return null;
    int kind = b.get(2) & ~VOUCHES;
    boolean vouches = (b.get(2) & VOUCHES) != 0;
    b.position(7);
    int seq = b.getInt();
    int target = b.getShort() & 0xffff;
    long incarnation = b.getInt() & 0xffffffffL;
    long digest = b.getLong();
    int n = b.get() & 0xff;
    if (kind < 0 || kind >= KINDS.length || b.remaining() != n * NEWS) return null;
    List<MemberUpdate> news = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      int member = b.getShort() & 0xffff;
      int state = b.get();
      if (state < 0 || state >= STATES.length) return null;
      news.add(
          new MemberUpdate(member, STATES[state], b.getInt() & 0xffffffffL, b.getShort() & 0xffff));
    }
    return new MembershipMessage(KINDS[kind], seq, target, incarnation, digest, vouches, news);
  }

  private static int sum(byte[] bytes) {
    java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
    crc.update(bytes);
    return (int) crc.getValue();
  }
}
