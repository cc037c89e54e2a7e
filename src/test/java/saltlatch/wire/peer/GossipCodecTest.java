package saltlatch.wire.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.BitSet;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GossipMessage;
import saltlatch.api.GossipMessage.Reachability;
import saltlatch.api.GossipMessage.WindowUsage;

/** Checks the bytes of gossip datagrams. */
class GossipCodecTest {
  private static final HexFormat HEX = HexFormat.of();

  private static void assertBytes(String hex, GossipMessage message) {
    assertEquals(hex, HEX.formatHex(GossipCodec.encode(message)));
    assertEquals(message, GossipCodec.decode(HEX.parseHex(hex)));
  }

  private static BitSet nodes(int... numbers) {
    BitSet nodes = new BitSet();
    for (int number : numbers) nodes.set(number);
    return nodes;
  }

  @Test
  void encodesUsageWithoutReachability() {
    assertBytes("51" + "0000000085" + "0018" + "5a6ab290ff" + "ffff" + "fffffff780" + "0000",
        new GossipMessage(List.of(new WindowUsage(1, 5, 1.5),
            new WindowUsage(0xb4d56521L, 127, 4095.9375), new WindowUsage((1L << 33) - 17, 0, 0)),
            null));
  }

  @Test
  void encodesEmptyMessage() {
    assertBytes("51", new GossipMessage(List.of(), null));
  }

  @Test
  void encodesReachabilityWithoutUsage() {
    assertBytes("51" + "fffffff800" + "0029",
        new GossipMessage(List.of(), new Reachability(nodes(1, 3), true, false)));
    assertBytes("51" + "fffffff840" + "0002" + "fffffff880" + "0001",
        new GossipMessage(List.of(), new Reachability(nodes(20, 21), false, true)));
  }

  @Test
  void encodesReachabilityBeforeUsage() {
    assertBytes("51" + "fffffff800" + "0007" + "0000000380" + "0010", new GossipMessage(
        List.of(new WindowUsage(7, 0, 1)), new Reachability(nodes(0), true, true)));
  }

  /** Units are rounded to sixteenths and limited to 16 bits; customers are cut to 33 bits. */
  @Test
  void limitsValuesToTheirFields() {
    assertEquals("51" + "0000000080" + "0002" + "0000000080" + "ffff" + "0000000080" + "0000",
        HEX.formatHex(GossipCodec.encode(new GossipMessage(List.of(new WindowUsage(1, 0, 0.1),
            new WindowUsage(1 | 1L << 33, 0, 5_000), new WindowUsage(1, 0, -3)), null))));
  }

  @Test
  void rejectsOtherDatagrams() {
    for (String hex : new String[] {"", "50", "52", "5100", "51000000008500180",
        "b7" + "0000000085" + "0018"}) {
      byte[] bytes = HEX.parseHex(hex.length() % 2 == 0 ? hex : hex + "0");
      assertNull(GossipCodec.decode(bytes), hex);
    }
  }
}
