package saltlatch.lab.capacity;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * What a policy of subsets does to a service: every node sends one unit of load, shared evenly by
 * the app servers that it keeps to. Simulated, pure and seeded.
 */
public final class SubsetSimulation {
  /**
   * What came out for one service and policy.
   *
   * @param policy      how nodes chose
   * @param servers     app servers of the service
   * @param kept        app servers that a node keeps to
   * @param p50         load of the median app server over the mean
   * @param p99         of the one that 99 in 100 stay below
   * @param max         of the most loaded
   * @param connections held by the most loaded app server, one for each node that keeps to it
   * @param moved       part of all choices that change when one app server goes
   * @param least       the least part that must change: the choices of the one that went
   */
  public record Outcome(SubsetPolicy policy, int servers, int kept, double p50, double p99,
      double max, int connections, double moved, double least) {}

  private static final double HIGH = 0.99; // the percentile told beside the median and the maximum

  private SubsetSimulation() {}

  /** Plays one service of so many app servers before so many nodes. */
  public static Outcome simulate(SubsetPolicy policy, int nodes, int servers, int kept, long seed) {
    int[] all = IntStream.range(0, servers).toArray();
    int each = Math.min(kept, servers);
    int[][] before = policy.choose(nodes, all, each, seed);
    double[] loads = new double[servers];
    int[] connections = new int[servers];
    for (int[] chosen : before) {
      for (int server : chosen) {
        loads[server] += 1.0 / chosen.length;
        connections[server]++;
      }
    }
    double mean = (double) nodes / servers;
    Arrays.sort(loads);
    int gone = servers / 2;
    double choices = Arrays.stream(connections).sum();
    double moved = moved(policy, before,
        IntStream.of(all).filter(server -> server != gone).toArray(), kept, seed);
    return new Outcome(policy, servers, each, at(loads, 0.5) / mean, at(loads, HIGH) / mean,
        loads[servers - 1] / mean, Arrays.stream(connections).max().orElseThrow(), moved / choices,
        connections[gone] / choices);
  }

  /** Choices that are not made any more once only these servers are left. */
  private static int moved(SubsetPolicy policy, int[][] before, int[] left, int kept, long seed) {
    int[][] after = policy.choose(before.length, left, Math.min(kept, left.length), seed);
    int moved = 0;
    for (int node = 0; node < before.length; node++) {
      int[] now = after[node];
      for (int server : before[node]) {
        if (Arrays.stream(now).noneMatch(other -> other == server)) moved++;
      }
    }
    return moved;
  }

  private static double at(double[] sorted, double part) {
    return sorted[(int) Math.ceil(part * sorted.length) - 1];
  }
}
