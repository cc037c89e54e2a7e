package saltlatch.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;

/**
 * Which part of a quota a node goes by: its own, and that of those that reach exactly each other.
 */
class QuotaSharesTest {
  private static final long WITHIN = 30_000;

  private static QuotaShares node(int me, int n, long holdsUntil) {
    QuotaShares s = new QuotaShares(me, n);
    s.update(new MembershipChanged(Collections.nCopies(n, MemberState.LIVE), holdsUntil, 0, n));
    return s;
  }

  /**
   * Each gossips whom it reaches, through the codec, a few rounds long; {@code reach[a][b]}:
   * a's words come to b.
   */
  private static List<QuotaShares> afterGossip(boolean[][] reach) {
    int n = reach.length;
    List<QuotaShares> all = new ArrayList<>();
    for (int i = 0; i < n; i++) all.add(node(i, n, Long.MAX_VALUE));
    for (long now = 10_000; now <= 60_000; now += 10_000) {
      List<GossipMessage> words = new ArrayList<>();
      for (QuotaShares s : all)
        words.add(GossipCodec
            .decode(GossipCodec.encode(new GossipMessage(List.of(), s.reachability(now, WITHIN)))));
      for (int a = 0; a < n; a++) {
        for (int b = 0; b < n; b++)
          if (a != b && reach[a][b]) all.get(b).recordGossip(now, a, words.get(a).reachability());
      }
    }
    return all;
  }

  private static boolean[][] links(int n, java.util.function.BiPredicate<Integer, Integer> up) {
    boolean[][] reach = new boolean[n][n];
    for (int a = 0; a < n; a++) for (int b = 0; b < n; b++) reach[a][b] = up.test(a, b);
    return reach;
  }

  @Test
  void poolUsesTheSumOfItsShares() {
    for (QuotaShares s : afterGossip(links(5, (a, b) -> true)))
      assertEquals(1, s.pooledShare(60_000, WITHIN, 0, 5), 1e-9);
    List<QuotaShares> split = afterGossip(links(5, (a, b) -> a < 2 == b < 2));
    assertEquals(0.4, split.get(0).pooledShare(60_000, WITHIN, 0, 5), 1e-9);
    assertEquals(0.6, split.get(4).pooledShare(60_000, WITHIN, 0, 5), 1e-9);
    // the set is nodes 4 and 0
    assertEquals(0.5, split.get(4).pooledShare(60_000, WITHIN, 4, 2), 1e-9);
    assertEquals(0, split.get(1).pooledShare(60_000, WITHIN, 2, 3)); // not of the set
  }

  /**
   * Node 2 reaches both sides, which do not reach each other: it lends to neither. One that is
   * not reached lends nothing.
   */
  @Test
  void bridgesAndOneWayCutsLendNoShareTwice() {
    List<QuotaShares> bridge = afterGossip(links(5, (a, b) -> a == 2 || b == 2 || a < 2 == b < 2));
    assertEquals(0.4, bridge.get(0).pooledShare(60_000, WITHIN, 0, 5), 1e-9);
    assertEquals(0.2, bridge.get(2).pooledShare(60_000, WITHIN, 0, 5), 1e-9);
    List<QuotaShares> deaf = afterGossip(links(3, (a, b) -> a != 0));
    assertEquals(1 / 3.0, deaf.get(0).pooledShare(60_000, WITHIN, 0, 3), 1e-9);
    assertEquals(2 / 3.0, deaf.get(1).pooledShare(60_000, WITHIN, 0, 3), 1e-9);
  }

  /**
   * Whatever links are cut, and in which direction: what all pools may use sums to no more than
   * one.
   */
  @Property(tries = 300, seed = "41")
  void poolsArePartition(@ForAll @IntRange(min = 2, max = 12) int n,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    double cut = 0.5 * chance.nextDouble();
    boolean[][] reach = links(n, (a, b) -> chance.nextDouble() >= cut);
    List<QuotaShares> all = afterGossip(reach);
    double sum = 0;
    // each of a pool of k has k even shares: all of them together count it once
    for (QuotaShares s : all) {
      double part = s.pooledShare(60_000, WITHIN, 0, n);
      sum += part / Math.round(part * n);
    }
    assertTrue(sum <= 1 + 1e-9, "" + sum);
  }

  /**
   * An older version says nothing of whom it reaches: its sums count and it lends nothing; it reads
   * what is new as sums.
   */
  @Test
  void olderNodesLendNothing() {
    List<QuotaShares> all = afterGossip(links(3, (a, b) -> true));
    all.get(0).recordGossip(60_000, 2, null);
    assertEquals(2 / 3.0, all.get(0).pooledShare(60_000, WITHIN, 0, 3), 1e-9);
    byte[] datagram = GossipCodec
        .encode(new GossipMessage(List.of(new GossipMessage.WindowUsage(7, 2, 4.5)),
            all.get(0).reachability(60_000, WITHIN)));
    assertTrue(datagram[0] == 0x51 && (datagram.length - 1) % 7 == 0 && datagram.length <= 256);
    for (int at = 1; at + 7 < datagram.length; at += 7)
      assertEquals(-1, datagram[at], "an id that customers have");
  }

  /**
   * Any bytes are sums or refused; what is written is read back, however many nodes it names.
   */
  @Property(tries = 300, seed = "42")
  void gossipIsReadBackOrRejected(@ForAll byte[] noise,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    GossipCodec.decode(noise);
    SplittableRandom chance = new SplittableRandom(seed);
    int nodes = 1 + chance.nextInt(GossipMessage.MAX_NODES_WITH_REACHABILITY);
    BitSet reachable = new BitSet();
    reachable.set(chance.nextInt(nodes));
    for (int i = 0; i < nodes; i++) reachable.set(i, reachable.get(i) || chance.nextBoolean());
    List<GossipMessage.WindowUsage> sums = new ArrayList<>();
    for (int i = chance.nextInt(GossipMessage.maxUsageEntries(nodes) + 1); i > 0; i--) {
      sums.add(new GossipMessage.WindowUsage(chance.nextInt(), chance.nextInt(128),
          chance.nextInt(65_536) / 16.0));
    }
    sums.replaceAll(s -> new GossipMessage.WindowUsage(s.customer() & 0xffffffffL, s.windowNumber(),
        s.units()));
    GossipMessage message = new GossipMessage(sums,
        new GossipMessage.Reachability(reachable, chance.nextBoolean(), chance.nextBoolean()));
    byte[] datagram = GossipCodec.encode(message);
    assertTrue(datagram.length <= 256);
    assertEquals(message, GossipCodec.decode(datagram));
  }
}
