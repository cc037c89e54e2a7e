package saltlatch.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The cost of a fault according to the run's history: how long the surviving nodes take to pass
 * their earlier share of attempts again, and how much each customer is charged beyond its quota in
 * the meantime.
 */
public final class Recovery {
  // service counts as recovered at this part of the share of succeeded attempts before the fault
  private static final double RECOVERED_PART = 0.9;
  private static final int STEADY_S = 2; // consecutive seconds at that share
  private static final int WARM_UP_S = 4; // excluded from the share before the fault

  private Recovery() {}

  /**
   * Returns the largest growth, over all customers, of the units charged beyond
   * {@code burst + rate * t} between two moments, compared with the customer's highest value
   * before, or 0 if no customer's value grew. {@code t} counts from the customer's first charge.
   */
  public static double overshootGrowth(List<HistoryEvent> history, double rate, double burst,
      long fromNs, long untilNs) {
    // time of the first charge (ns), units charged, highest overshoot before fromNs and after it
    Map<String, double[]> usageByCustomer = new HashMap<>();
    double worst = 0;
    for (HistoryEvent event : history) {
      if (!event.kind().equals("served") || event.monoNs() > untilNs) continue;
      double[] usage = usageByCustomer.computeIfAbsent(event.get("customer"),
          customer -> new double[] {event.monoNs(), 0, 0, 0});
      usage[1] += event.number("units");
      int highest = event.monoNs() < fromNs ? 2 : 3;
      usage[highest] = Math.max(usage[highest],
          usage[1] - burst - rate * (event.monoNs() - usage[0]) / 1e9);
      if (highest == 3) worst = Math.max(worst, usage[3] - usage[2]);
    }
    return worst;
  }

  /**
   * Returns the seconds from {@code faultS} until, of the attempts sent to {@code nodes}, the share
   * that succeeded is at least nine tenths of its mean before the fault for two consecutive
   * seconds. The result is 0 if the share never fell below that, and -1 if it does not recover
   * before {@code endS}.
   */
  public static double recoverySeconds(List<HistoryEvent> history, long beginNs, double faultS,
      double endS, Set<String> nodes) {
    Map<String, Integer> sendSecond = new HashMap<>();
    Map<Integer, double[]> countsBySecond = new HashMap<>(); // succeeded, all; by second of sending
    for (HistoryEvent event : history) {
      if (event.kind().equals("sent") && nodes.contains(event.get("node"))) {
        sendSecond.put(event.get("id"), (int) Math.floor((event.monoNs() - beginNs) / 1e9));
      }
      Integer second = event.kind().equals("got") ? sendSecond.get(event.get("id")) : null;
      if (second == null) continue;
      double[] counts = countsBySecond.computeIfAbsent(second, key -> new double[2]);
      counts[0] += event.get("how").equals("PASSED") ? 1 : 0;
      counts[1]++;
    }
    double succeeded = 0;
    double all = 0;
    for (int second = WARM_UP_S; second < (int) faultS; second++) {
      double[] counts = countsBySecond.getOrDefault(second, new double[2]);
      succeeded += counts[0];
      all += counts[1];
    }
    double minShare = all == 0 ? 0 : RECOVERED_PART * succeeded / all;
    List<Boolean> recovered = new ArrayList<>();
    for (int second = (int) faultS; second < (int) endS; second++) {
      double[] counts = countsBySecond.getOrDefault(second, new double[2]);
      recovered.add(counts[1] == 0 || counts[0] / counts[1] >= minShare);
    }
    for (int first = 0; first + STEADY_S <= recovered.size(); first++) {
      boolean steady = true;
      for (int i = first; i < first + STEADY_S; i++) steady &= recovered.get(i);
      if (steady) return first;
    }
    return -1;
  }
}
