package saltlatch.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.api.GossipMessage;
import saltlatch.wire.peer.GossipCodec;

/**
 * Tests which share of a quota a node uses: its own, and the sum of the shares of its pool.
 */
class QuotaSharesTest {
  private static final long VALIDITY = 30_000; // 3 s

  private static QuotaShares createShares(int ownIndex, int nodeCount, long leaseUntil) {
    QuotaShares shares = new QuotaShares(ownIndex, nodeCount);
    shares.update(new MembershipChanged(Collections.nCopies(nodeCount, MemberState.LIVE),
        leaseUntil, 0, nodeCount));
    return shares;
  }

  /**
   * Returns the shares of all nodes after several rounds in which each node sends its reachability
   * to the others as encoded gossip. Gossip from a sender reaches a receiver if {@code
   * links[sender][receiver]} is true.
   */
  private static List<QuotaShares> afterGossip(boolean[][] links) {
    int nodeCount = links.length;
    List<QuotaShares> nodes = new ArrayList<>();
    for (int node = 0; node < nodeCount; node++) {
      nodes.add(createShares(node, nodeCount, Long.MAX_VALUE));
    }
    for (long now = 10_000; now <= 60_000; now += 10_000) {
      List<GossipMessage> messages = new ArrayList<>();
      for (QuotaShares node : nodes) {
        GossipMessage sent = new GossipMessage(List.of(), node.reachability(now, VALIDITY));
        messages.add(GossipCodec.decode(GossipCodec.encode(sent)));
      }
      for (int sender = 0; sender < nodeCount; sender++) {
        for (int receiver = 0; receiver < nodeCount; receiver++) {
          if (sender != receiver && links[sender][receiver]) {
            nodes.get(receiver).recordGossip(now, sender, messages.get(sender).reachability());
          }
        }
      }
    }
    return nodes;
  }

  private static boolean[][] createLinks(int nodeCount, BiPredicate<Integer, Integer> isUp) {
    boolean[][] links = new boolean[nodeCount][nodeCount];
    for (int sender = 0; sender < nodeCount; sender++) {
      for (int receiver = 0; receiver < nodeCount; receiver++) {
        links[sender][receiver] = isUp.test(sender, receiver);
      }
    }
    return links;
  }

  @Test
  void poolUsesTheSumOfItsShares() {
    for (QuotaShares node : afterGossip(createLinks(5, (sender, receiver) -> true))) {
      assertEquals(1, node.pooledShare(60_000, VALIDITY, 0, 5), 1e-9);
    }
    List<QuotaShares> partitioned = afterGossip(
        createLinks(5, (sender, receiver) -> sender < 2 == receiver < 2));
    assertEquals(0.4, partitioned.get(0).pooledShare(60_000, VALIDITY, 0, 5), 1e-9);
    assertEquals(0.6, partitioned.get(4).pooledShare(60_000, VALIDITY, 0, 5), 1e-9);
    // the set consists of nodes 4 and 0
    assertEquals(0.5, partitioned.get(4).pooledShare(60_000, VALIDITY, 4, 2), 1e-9);
    // node 1 is not in the set of nodes 2 to 4
    assertEquals(0, partitioned.get(1).pooledShare(60_000, VALIDITY, 2, 3));
  }

  /**
   * Guards against a share that is used twice. Node 2 reaches both sides of a partition and must be
   * in the pool of neither side. Node 0, whose gossip does not reach the others, must be in no pool
   * with them.
   */
  @Test
  void bridgingAndUnheardNodesAreInNoPool() {
    List<QuotaShares> bridged = afterGossip(createLinks(5,
        (sender, receiver) -> sender == 2 || receiver == 2 || sender < 2 == receiver < 2));
    assertEquals(0.4, bridged.get(0).pooledShare(60_000, VALIDITY, 0, 5), 1e-9);
    assertEquals(0.2, bridged.get(2).pooledShare(60_000, VALIDITY, 0, 5), 1e-9);
    List<QuotaShares> oneWay = afterGossip(createLinks(3, (sender, receiver) -> sender != 0));
    assertEquals(1 / 3.0, oneWay.get(0).pooledShare(60_000, VALIDITY, 0, 3), 1e-9);
    assertEquals(2 / 3.0, oneWay.get(1).pooledShare(60_000, VALIDITY, 0, 3), 1e-9);
  }

  /**
   * Guards against a quota that is used twice. With random links cut in random directions, the
   * shares of all pools must not sum to more than 1.
   */
  @Property(tries = 300, seed = "41")
  void sharesOfAllPoolsSumToAtMostOne(@ForAll @IntRange(min = 2, max = 12) int nodeCount,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double cutFraction = 0.5 * random.nextDouble();
    boolean[][] links = createLinks(nodeCount,
        (sender, receiver) -> random.nextDouble() >= cutFraction);
    double sum = 0;
    // Each of the k nodes of a pool reports k even shares. Dividing by k counts the pool once.
    for (QuotaShares node : afterGossip(links)) {
      double pooledShare = node.pooledShare(60_000, VALIDITY, 0, nodeCount);
      sum += pooledShare / Math.round(pooledShare * nodeCount);
    }
    assertTrue(sum <= 1 + 1e-9, "the shares of all pools sum to " + sum);
  }

  /**
   * Guards against incompatibility with nodes of an older version. Their gossip carries no
   * reachability, so they are in no pool. They decode the reachability of newer nodes as usage
   * entries, whose customer ids must be ones that no customer has.
   */
  @Test
  void nodesOfOlderVersionAreInNoPool() {
    List<QuotaShares> nodes = afterGossip(createLinks(3, (sender, receiver) -> true));
    nodes.get(0).recordGossip(60_000, 2, null);
    assertEquals(2 / 3.0, nodes.get(0).pooledShare(60_000, VALIDITY, 0, 3), 1e-9);
    byte[] datagram = GossipCodec
        .encode(new GossipMessage(List.of(new GossipMessage.WindowUsage(7, 2, 4.5)),
            nodes.get(0).reachability(60_000, VALIDITY)));
    assertTrue(datagram[0] == 0x51 && (datagram.length - 1) % 7 == 0 && datagram.length <= 256);
    for (int offset = 1; offset + 7 < datagram.length; offset += 7) {
      assertEquals(-1, datagram[offset], "a customer can have the id at byte " + offset);
    }
  }

  /**
   * Encoded gossip is decoded to an equal message for any number of nodes. Random bytes are decoded
   * or rejected without an exception.
   */
  @Property(tries = 300, seed = "42")
  void gossipIsDecodedOrRejected(@ForAll byte[] randomBytes,
      @ForAll @IntRange(max = 1_000_000) int seed) {
    GossipCodec.decode(randomBytes);
    SplittableRandom random = new SplittableRandom(seed);
    int nodeCount = 1 + random.nextInt(GossipMessage.MAX_NODES_WITH_REACHABILITY);
    BitSet reachable = new BitSet();
    reachable.set(random.nextInt(nodeCount));
    for (int node = 0; node < nodeCount; node++) {
      reachable.set(node, reachable.get(node) || random.nextBoolean());
    }
    List<GossipMessage.WindowUsage> entries = new ArrayList<>();
    for (int i = random.nextInt(GossipMessage.maxUsageEntries(nodeCount) + 1); i > 0; i--) {
      entries.add(new GossipMessage.WindowUsage(random.nextInt(), random.nextInt(128),
          random.nextInt(65_536) / 16.0));
    }
    entries.replaceAll(entry -> new GossipMessage.WindowUsage(entry.customer() & 0xffffffffL,
        entry.windowNumber(), entry.units()));
    GossipMessage message = new GossipMessage(entries,
        new GossipMessage.Reachability(reachable, random.nextBoolean(), random.nextBoolean()));
    byte[] datagram = GossipCodec.encode(message);
    assertTrue(datagram.length <= 256);
    assertEquals(message, GossipCodec.decode(datagram));
  }
}
