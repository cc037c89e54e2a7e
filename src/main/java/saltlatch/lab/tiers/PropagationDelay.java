package saltlatch.lab.tiers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * Computes propagation delays: for each change and node, the time from the put at the source until
 * the node has applied that index or a later one. All times are in ns of one monotonic clock.
 */
final class PropagationDelay {
  /** A change of the list at the source. */
  record Put(long index, long atNanos) {}

  /** The time at which a node had applied all changes up to an index. */
  record Applied(long index, long atNanos) {}

  /**
   * Distribution of the delays in ms.
   *
   * @param count     number of delays
   * @param missing   number of expected delays without an end: changes that a node never applied,
   *     or nodes that never applied a list
   * @param backwards number of times that a node applied a lower index than before
   * @param p50Ms     median, or NaN without delays
   * @param p99Ms     99th percentile, or NaN without delays
   * @param maxMs     maximum, or NaN without delays
   */
  record Times(int count, int missing, int backwards, double p50Ms, double p99Ms, double maxMs) {}

  private static final double NANOS_PER_MS = 1e6;

  private PropagationDelay() {}

  /**
   * Returns the delays of all puts at all nodes.
   *
   * @param puts  puts by ascending index
   * @param nodes applied indexes of each node, in order of time
   */
  static Times of(List<Put> puts, Map<String, List<Applied>> nodes) {
    double[] delaysMs = new double[puts.size() * nodes.size()];
    int count = 0;
    int missing = 0;
    int backwards = 0;
    for (List<Applied> applied : nodes.values()) {
      for (int i = 1; i < applied.size(); i++) {
        if (applied.get(i).index < applied.get(i - 1).index) backwards++;
      }
      int next = 0;
      for (Put put : puts) {
        while (next < applied.size() && applied.get(next).index < put.index) next++;
        if (next == applied.size()) missing++;
        else
          delaysMs[count++] = Math.max(0, applied.get(next).atNanos - put.atNanos) / NANOS_PER_MS;
      }
    }
    double[] sorted = Arrays.copyOf(delaysMs, count);
    Arrays.sort(sorted);
    return new Times(count, missing, backwards, quantile(sorted, 0.5), quantile(sorted, 0.99),
        quantile(sorted, 1));
  }

  /** Returns the time from each node's start, its first entry, to its first list. */
  static Times ofStarts(Map<String, List<Applied>> nodes) {
    List<Double> delaysMs = new ArrayList<>();
    int missing = 0;
    for (List<Applied> applied : nodes.values()) {
      Applied first = applied.stream().filter(entry -> entry.index > 0).findFirst().orElse(null);
      if (first == null) missing++;
      else delaysMs.add((first.atNanos - applied.get(0).atNanos) / NANOS_PER_MS);
    }
    double[] sorted = delaysMs.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return new Times(sorted.length, missing, 0, quantile(sorted, 0.5), quantile(sorted, 0.99),
        quantile(sorted, 1));
  }

  private static double quantile(double[] sorted, double fraction) {
    return sorted.length == 0 ? Double.NaN
        : sorted[Math.min(sorted.length - 1, (int) (fraction * sorted.length))];
  }
}
