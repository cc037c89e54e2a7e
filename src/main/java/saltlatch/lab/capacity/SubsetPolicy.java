package saltlatch.lab.capacity;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Policies by which an edge node chooses its subset of a service's app servers. They are pure
 * functions: the same seed, nodes and servers give the same choice, so that each node can compute
 * its own subset without communication.
 */
public enum SubsetPolicy {
  /**
   * Each node draws its subset independently, as shuffle sharding assigns customers (MacCárthaigh,
   * AWS Builders' Library).
   */
  RANDOM("random, a draw for each node") {
    @Override
    int[][] choose(int nodes, int[] servers, int kept, long seed) {
      int[][] chosen = new int[nodes][];
      for (int node = 0; node < nodes; node++) {
        int[] shuffled = shuffled(servers, new SplittableRandom(mix(seed, node)));
        chosen[node] = Arrays.copyOf(shuffled, kept);
      }
      return chosen;
    }
  },

  /**
   * Divides one shuffle of the servers among the nodes of a round; each round uses another shuffle
   * (Beyer et al., Site Reliability Engineering, chapter 20).
   */
  DETERMINISTIC("deterministic subsetting") {
    @Override
    int[][] choose(int nodes, int[] servers, int kept, long seed) {
      int nodesPerRound = servers.length / kept;
      int[][] chosen = new int[nodes][];
      for (int node = 0; node < nodes; node++) {
        int[] shuffled = shuffled(servers, new SplittableRandom(mix(seed, node / nodesPerRound)));
        int from = node % nodesPerRound * kept;
        chosen[node] = Arrays.copyOfRange(shuffled, from, from + kept);
      }
      return chosen;
    }
  },

  /** Chooses the servers with the highest hashes with the node (Thaler and Ravishankar 1998). */
  RENDEZVOUS("rendezvous hashing") {
    @Override
    int[][] choose(int nodes, int[] servers, int kept, long seed) {
      int[][] chosen = new int[nodes][];
      for (int node = 0; node < nodes; node++)
        chosen[node] = highestScores(node, servers, kept, seed);
      return chosen;
    }
  },

  /**
   * Walks clockwise on a ring of servers and skips each server whose load has reached {@link
   * #BOUND} times the mean (Mirrokni et al. 2018).
   */
  BOUNDED_RING("consistent hashing with bounded loads") {
    @Override
    int[][] choose(int nodes, int[] servers, int kept, long seed) {
      int[] ring = ring(servers, seed);
      int maxNodesPerServer = (int) Math.ceil(BOUND * nodes * kept / servers.length);
      int[] nodesPerServer = new int[ring.length];
      long[] serverHashes = Arrays.stream(ring).mapToLong(server -> mix(seed, server)).toArray();
      int[][] chosen = new int[nodes][];
      for (int node = 0; node < nodes; node++) {
        int ringPosition = Arrays.binarySearch(serverHashes, mix(seed ^ NODE_HASH_SALT, node));
        chosen[node] = walkRing(ring, nodesPerServer,
            ringPosition < 0 ? -ringPosition - 1 : ringPosition, kept, maxNodesPerServer);
      }
      return chosen;
    }
  };

  static final double BOUND = 1.25; // times the mean load; the middle of the paper's evaluation
  // makes the nodes' hashes on the ring independent of the servers'
  private static final long NODE_HASH_SALT = 0x9e3779b97f4a7c15L;

  private final String title;

  SubsetPolicy(String title) {
    this.title = title;
  }

  /** Returns the name used on the page. */
  public String title() {
    return title;
  }

  /**
   * Returns the choice of every node.
   *
   * @param nodes   number of nodes
   * @param servers the service's app servers by number, at least {@code kept}
   * @param kept    number of app servers that each node uses
   * @param seed    seed of all random choices
   * @return the servers of each node, by the node's number
   */
  abstract int[][] choose(int nodes, int[] servers, int kept, long seed);

  /**
   * Returns a 64-bit hash of a seed and a number, by the finalizer of SplitMix64 (Steele, Lea and
   * Flood 2014).
   */
  static long mix(long seed, long number) {
    long bits = seed + (number + 1) * 0x9e3779b97f4a7c15L;
    bits = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    bits = (bits ^ (bits >>> 27)) * 0x94d049bb133111ebL;
    return bits ^ (bits >>> 31);
  }

  private static int[] shuffled(int[] servers, SplittableRandom random) {
    int[] order = servers.clone();
    for (int i = order.length - 1; i > 0; i--) {
      int other = random.nextInt(i + 1);
      int swapped = order[i];
      order[i] = order[other];
      order[other] = swapped;
    }
    return order;
  }

  private static int[] highestScores(int node, int[] servers, int kept, long seed) {
    int[] best = new int[kept];
    long[] scores = new long[kept];
    Arrays.fill(scores, Long.MIN_VALUE);
    for (int server : servers) {
      long score = mix(mix(seed, node), server);
      int position = kept;
      while (position > 0 && score > scores[position - 1]) position--;
      if (position == kept) continue;
      System.arraycopy(best, position, best, position + 1, kept - position - 1);
      System.arraycopy(scores, position, scores, position + 1, kept - position - 1);
      best[position] = server;
      scores[position] = score;
    }
    return best;
  }

  private static int[] ring(int[] servers, long seed) {
    return IntStream.of(servers).boxed()
        .sorted((one, other) -> Long.compare(mix(seed, one), mix(seed, other)))
        .mapToInt(Integer::intValue).toArray();
  }

  private static int[] walkRing(int[] ring, int[] nodesPerServer, int from, int kept,
      int maxNodesPerServer) {
    int[] subset = new int[kept];
    int count = 0;
    for (int step = 0; step < ring.length && count < kept; step++) {
      int position = (from + step) % ring.length;
      if (nodesPerServer[position] >= maxNodesPerServer) continue;
      nodesPerServer[position]++;
      subset[count++] = ring[position];
    }
    return Arrays.copyOf(subset, count);
  }
}
