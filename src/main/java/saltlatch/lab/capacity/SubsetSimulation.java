package saltlatch.lab.capacity;

import java.util.Arrays;
import java.util.stream.IntStream;

/**
 * Simulates the load that a subset policy puts on the app servers of a service. Every node sends
 * one unit of load, divided evenly among the app servers of its subset. The simulation is a pure
 * function of its arguments, including the seed.
 */
public final class SubsetSimulation {
  /**
   * The result for one service and policy.
   *
   * @param policy      the policy by which nodes chose
   * @param servers     number of app servers of the service
   * @param kept        number of app servers in a node's subset
   * @param p50         load of the median app server, divided by the mean load
   * @param p99         99th percentile of the loads, divided by the mean load
   * @param max         the highest load, divided by the mean load
   * @param connections the largest number of connections to one app server, with one connection for
   *     each node whose subset contains it
   * @param movedFraction fraction of all choices that change when one app server is removed
   * @param minimumMovedFraction the smallest fraction that has to change: the choices of the
   *     removed app server
   */
  public record Outcome(SubsetPolicy policy, int servers, int kept, double p50, double p99,
      double max, int connections, double movedFraction, double minimumMovedFraction) {}

  private static final double HIGH_QUANTILE = 0.99; // shown beside median and maximum

  private SubsetSimulation() {}

  /** Simulates one service with {@code servers} app servers and {@code nodes} edge nodes. */
  public static Outcome simulate(SubsetPolicy policy, int nodes, int servers, int kept, long seed) {
    int[] allServers = IntStream.range(0, servers).toArray();
    int subsetSize = Math.min(kept, servers);
    int[][] before = policy.choose(nodes, allServers, subsetSize, seed);
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
    int removed = servers / 2;
    double choices = Arrays.stream(connections).sum();
    int movedChoices = movedChoices(policy, before,
        IntStream.of(allServers).filter(server -> server != removed).toArray(), kept, seed);
    return new Outcome(policy, servers, subsetSize, quantile(loads, 0.5) / mean,
        quantile(loads, HIGH_QUANTILE) / mean, loads[servers - 1] / mean,
        Arrays.stream(connections).max().orElseThrow(), movedChoices / choices,
        connections[removed] / choices);
  }

  /** Returns the number of choices that are not made again if only these servers remain. */
  private static int movedChoices(SubsetPolicy policy, int[][] before, int[] remaining, int kept,
      long seed) {
    int[][] after = policy.choose(before.length, remaining, Math.min(kept, remaining.length), seed);
    int movedChoices = 0;
    for (int node = 0; node < before.length; node++) {
      int[] chosenAfter = after[node];
      for (int server : before[node]) {
        if (Arrays.stream(chosenAfter).noneMatch(other -> other == server)) movedChoices++;
      }
    }
    return movedChoices;
  }

  private static double quantile(double[] sorted, double probability) {
    return sorted[(int) Math.ceil(probability * sorted.length) - 1];
  }
}
