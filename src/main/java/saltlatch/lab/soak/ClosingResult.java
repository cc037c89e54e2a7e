package saltlatch.lab.soak;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * What became of the requests that were sent round the close of their connections.
 *
 * @param counts the number of connections by verdict
 * @param losses a line for each lost request
 */
public record ClosingResult(Map<RequestVerdict, Integer> counts, List<String> losses) {
  static ClosingResult of(List<IdleConnection> connections, long terminatedNanos) {
    Map<RequestVerdict, Integer> counts = new EnumMap<>(RequestVerdict.class);
    List<String> losses = new ArrayList<>();
    for (IdleConnection connection : connections) {
      RequestVerdict verdict = connection.verdict();
      counts.merge(verdict, 1, Integer::sum);
      if (verdict == RequestVerdict.LOST) losses.add(connection.describe(terminatedNanos));
    }
    return new ClosingResult(counts, losses);
  }

  /** Returns the number of connections with this verdict. */
  public int count(RequestVerdict verdict) {
    return counts.getOrDefault(verdict, 0);
  }
}
