package saltlatch.wire.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipMessage.Kind;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/** Checks the bytes of membership datagrams of each kind and state. */
class MembershipCodecTest {
  private static final HexFormat HEX = HexFormat.of();

  private static void assertBytes(String hex, MembershipMessage message) {
    assertEquals(hex, HEX.formatHex(MembershipCodec.encode(message)));
    assertEquals(message, MembershipCodec.decode(HEX.parseHex(hex)));
  }

  @Test
  void encodesPing() {
    assertBytes(
        "b70100" + "91246de7" + "00000001" + "0002" + "00000003" + "0000000000000004" + "00",
        new MembershipMessage(Kind.PING, 1, 2, 3, 4, false, List.of()));
  }

  @Test
  void encodesAckWithLeaseGrantAndUpdatesOfEachState() {
    assertBytes(
        "b70141" + "65056d35" + "ffffffff" + "ffff" + "ffffffff" + "fedcba9876543210" + "05"
            + "000000000000000000" + "000101000000010000" + "000202000000020007"
            + "ffff03ffffffffffff" + "000404000000040000",
        new MembershipMessage(Kind.ACK, -1, 0xffff, 0xffffffffL, 0xfedcba9876543210L, true,
            List.of(new MemberUpdate(0, State.UNKNOWN, 0, 0),
                new MemberUpdate(1, State.ALIVE, 1, 0), new MemberUpdate(2, State.SUSPECT, 2, 7),
                new MemberUpdate(0xffff, State.FAILED, 0xffffffffL, 0xffff),
                new MemberUpdate(4, State.LEFT, 4, 0))));
  }

  @Test
  void encodesPingRequest() {
    assertBytes(
        "b70102" + "c793b7b2" + "00000009" + "0011" + "00000003" + "0000000000000004" + "00",
        new MembershipMessage(Kind.PING_REQUEST, 9, 17, 3, 4, false, List.of()));
  }

  @Test
  void encodesNackWithLeaseGrant() {
    assertBytes(
        "b70143" + "60a88932" + "00000009" + "0011" + "00000003" + "0000000000000004" + "00",
        new MembershipMessage(Kind.NACK, 9, 17, 3, 4, true, List.of()));
  }

  /** A datagram with a changed bit in any byte, or one that is too short, is not accepted. */
  @Test
  void rejectsCorruptedAndShortDatagrams() {
    byte[] valid = MembershipCodec.encode(new MembershipMessage(Kind.PING, 1, 2, 3, 4, false,
        List.of(new MemberUpdate(1, State.ALIVE, 1, 0))));
    assertEquals(26 + 9, valid.length);
    for (int index = 0; index < valid.length; index++) {
      byte[] corrupted = valid.clone();
      corrupted[index] ^= 0x10;
      assertNull(MembershipCodec.decode(corrupted), "byte " + index);
    }
    assertNull(MembershipCodec.decode(new byte[0]));
    assertNull(MembershipCodec.decode(new byte[25]));
  }
}
