package saltlatch.lab.capacity;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * How a node chooses the app servers of a service that it keeps to. Pure: the same seed, nodes and
 * servers give the same choice, and each node can make its own without asking another.
 */
public enum SubsetPolicy {
  /**
   * Each node draws for itself, as shuffle sharding deals customers out (MacCárthaigh, AWS
   * Builders' Library).
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
   * Rounds of nodes share out one shuffle of the servers (Beyer et al., Site Reliability
   * Engineering, chapter 20).
   */
  DETERMINISTIC("deterministic subsetting") {
    @Override
    int[][] choose(int nodes, int[] servers, int kept, long seed) {
      int perRound = servers.length / kept;
      int[][] chosen = new int[nodes][];
      for (int node = 0; node < nodes; node++) {
        int[] shuffled = shuffled(servers, new SplittableRandom(mix(seed, node / perRound)));
        int from = node % perRound * kept;
        chosen[node] = Arrays.copyOfRange(shuffled, from, from + kept);
      }
      return chosen;
    }
  },

  /** The servers of the highest hash with the node (Thaler and Ravishankar 1998). */
  RENDEZVOUS("rendezvous hashing") {
    @Override
    int[][] choose(int nodes, int[] servers, int kept, long seed) {
      int[][] chosen = new int[nodes][];
      for (int node = 0; node < nodes; node++) chosen[node] = highest(node, servers, kept, seed);
      return chosen;
    }
  },

  /**
   * Clockwise on a ring of servers, passing over what is full at {@link #BOUND} of the mean
   * (Mirrokni et al. 2018).
   */
  BOUNDED_RING("consistent hashing with bounded loads") {
    @Override
    int[][] choose(int nodes, int[] servers, int kept, long seed) {
      int[] ring = ring(servers, seed);
      int most = (int) Math.ceil(BOUND * nodes * kept / servers.length);
      int[] held = new int[ring.length];
      long[] places = Arrays.stream(ring).mapToLong(server -> mix(seed, server)).toArray();
      int[][] chosen = new int[nodes][];
      for (int node = 0; node < nodes; node++) {
        int found = Arrays.binarySearch(places, mix(seed ^ NODES, node));
        chosen[node] = clockwise(ring, held, found < 0 ? -found - 1 : found, kept, most);
      }
      return chosen;
    }
  };

  static final double BOUND = 1.25; // of the mean load: the middle of the paper's evaluation
  // sets nodes' places on the ring apart from servers'
  private static final long NODES = 0x9e3779b97f4a7c15L;

  private final String title;

  SubsetPolicy(String title) {
    this.title = title;
  }

  /** Its name on the page. */
  public String title() {
    return title;
  }

  /**
   * The choice of every node.
   *
   * @param nodes   how many
   * @param servers the service's app servers by number, at least {@code kept}
   * @param kept    app servers for a node
   * @param seed    of all chance
   * @return for each node the servers that it keeps to
   */
  abstract int[][] choose(int nodes, int[] servers, int kept, long seed);

  /**
   * A 64-bit hash of a seed and a number: the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
   */
  static long mix(long seed, long number) {
    long bits = seed + (number + 1) * 0x9e3779b97f4a7c15L;
    bits = (bits ^ (bits >>> 30)) * 0xbf58476d1ce4e5b9L;
    bits = (bits ^ (bits >>> 27)) * 0x94d049bb133111ebL;
    return bits ^ (bits >>> 31);
  }

  private static int[] shuffled(int[] servers, SplittableRandom chance) {
    int[] order = servers.clone();
    for (int i = order.length - 1; i > 0; i--) {
      int other = chance.nextInt(i + 1);
      int moved = order[i];
      order[i] = order[other];
      order[other] = moved;
    }
    return order;
  }

  private static int[] highest(int node, int[] servers, int kept, long seed) {
    int[] best = new int[kept];
    long[] scores = new long[kept];
    Arrays.fill(scores, Long.MIN_VALUE);
    for (int server : servers) {
      long score = mix(mix(seed, node), server);
      int place = kept;
      while (place > 0 && score > scores[place - 1]) place--;
      if (place == kept) continue;
      System.arraycopy(best, place, best, place + 1, kept - place - 1);
      System.arraycopy(scores, place, scores, place + 1, kept - place - 1);
      best[place] = server;
      scores[place] = score;
    }
    return best;
  }

  private static int[] ring(int[] servers, long seed) {
    return IntStream.of(servers).boxed()
        .sorted((one, other) -> Long.compare(mix(seed, one), mix(seed, other)))
        .mapToInt(Integer::intValue).toArray();
  }

  private static int[] clockwise(int[] ring, int[] held, int from, int kept, int most) {
    int[] taken = new int[kept];
    int count = 0;
    for (int step = 0; step < ring.length && count < kept; step++) {
      int place = (from + step) % ring.length;
      if (held[place] >= most) continue;
      held[place]++;
      taken[count++] = ring[place];
    }
    return Arrays.copyOf(taken, count);
  }
}
