package saltlatch.lab.flood;

import java.util.List;
import java.util.Locale;

/**
 * What the usual clients saw in one part of a trial.
 *
 * @param late requests without a whole answer within their time, those without any among them
 * @param lost requests that never got one
 */
public record UsualTimes(int requests, double p50Ms, double p99Ms, double slowestMs, int late,
    int lost) {
  /** Reading on sockets may add this much to a time. */
  private static final long SOCKET_MARGIN_MS = 50;

  static UsualTimes of(List<UsualClients.RequestTime> times, long deadlineMs) {
    double[] answered = times.stream().filter(UsualClients.RequestTime::isAnswered)
        .mapToDouble(UsualClients.RequestTime::latencyMs).sorted().toArray();
    int lost = times.size() - answered.length;
    int late = lost;
    for (double latencyMs : answered) if (latencyMs > deadlineMs + SOCKET_MARGIN_MS) late++;
    return new UsualTimes(times.size(), quantile(answered, 0.5), quantile(answered, 0.99),
        quantile(answered, 1), late, lost);
  }

  private static double quantile(double[] sorted, double share) {
    if (sorted.length == 0) return 0;
    return sorted[(int) Math.min(sorted.length - 1L, Math.round(share * (sorted.length - 1)))];
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT,
        "%d requests, p50 %.0f ms, p99 %.0f ms, slowest %.0f ms, late %d, lost %d", requests, p50Ms,
        p99Ms, slowestMs, late, lost);
  }
}
