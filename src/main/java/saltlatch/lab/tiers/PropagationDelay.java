package saltlatch.lab.tiers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * When changes were in force: for each change and node the time from its put at the source until
 * the node had applied it, itself or within a later index. Times are of one monotonic clock, ns.
 */
final class PropagationDelay {
  /** A change of the list at its source. */
  record Put(long index, long atNanos) {}

  /** That a node had applied all up to an index. */
  record Applied(long index, long atNanos) {}

  /**
   * Times in ms; {@code missing}: pairs of change and node that never came to be;
   * {@code backwards}: a lower index applied.
   */
  record Times(int count, int missing, int backwards, double p50Ms, double p99Ms, double maxMs) {}

  private static final double NANOS_PER_MS = 1e6;

  private PropagationDelay() {}

  /** Of these puts, which ascend, at all nodes; each node's indexes in the order of their times. */
  static Times of(List<Put> puts, Map<String, List<Applied>> nodes) {
    double[] took = new double[puts.size() * nodes.size()];
    int count = 0;
    int missing = 0;
    int backwards = 0;
    for (List<Applied> applied : nodes.values()) {
      for (int i = 1; i < applied.size(); i++) {
        if (applied.get(i).index < applied.get(i - 1).index) backwards++;
      }
      int at = 0;
      for (Put put : puts) {
        while (at < applied.size() && applied.get(at).index < put.index) at++;
        if (at == applied.size()) missing++;
        else took[count++] = Math.max(0, applied.get(at).atNanos - put.atNanos) / NANOS_PER_MS;
      }
    }
    double[] sorted = Arrays.copyOf(took, count);
    Arrays.sort(sorted);
    return new Times(count, missing, backwards, at(sorted, 0.5), at(sorted, 0.99), at(sorted, 1));
  }

  /** From each node's start to its first list. */
  static Times ofStarts(Map<String, List<Applied>> nodes) {
    List<Double> took = new ArrayList<>();
    int missing = 0;
    for (List<Applied> applied : nodes.values()) {
      Applied first = applied.stream().filter(a -> a.index > 0).findFirst().orElse(null);
      if (first == null) missing++;
      else took.add((first.atNanos - applied.get(0).atNanos) / NANOS_PER_MS);
    }
    double[] sorted = took.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return new Times(sorted.length, missing, 0, at(sorted, 0.5), at(sorted, 0.99), at(sorted, 1));
  }

  private static double at(double[] sorted, double part) {
    return sorted.length == 0 ? Double.NaN
        : sorted[Math.min(sorted.length - 1, (int) (part * sorted.length))];
  }
}
