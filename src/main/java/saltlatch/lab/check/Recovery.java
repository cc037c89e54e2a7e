package saltlatch.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a fault cost by the clients' own history: how long until the nodes that it did not end serve
 * their share again, and what each customer was charged beyond its quota meanwhile.
 */
public final class Recovery {
  // part of the share served before at which service counts as back
  private static final double BACK = 0.9;
  private static final int STEADY = 2; // seconds in a row that it must hold
  private static final int WARM = 4; // s at the run's beginning that do not count as before

  private Recovery() {}

  /**
   * By how many units the worst customer's standing beyond {@code burst + rate * t} (t from its
   * first charge) grew between two moments over what it had been before; 0 if none grew.
   */
  public static double beyond(List<HistoryEvent> history, double rate, double burst, long fromNs,
      long untilNs) {
    // first ns, units, most beyond before, most beyond meanwhile
    Map<String, double[]> use = new HashMap<>();
    double worst = 0;
    for (HistoryEvent l : history) {
      if (!l.kind().equals("served") || l.monoNs() > untilNs) continue;
      double[] u = use.computeIfAbsent(l.get("customer"), k -> new double[] {l.monoNs(), 0, 0, 0});
      u[1] += l.number("units");
      int at = l.monoNs() < fromNs ? 2 : 3;
      u[at] = Math.max(u[at], u[1] - burst - rate * (l.monoNs() - u[0]) / 1e9);
      if (at == 3) worst = Math.max(worst, u[3] - u[2]);
    }
    return worst;
  }

  /**
   * Seconds from {@code faultS} until the passed part of the tries sent to {@code nodes} is back at
   * nine tenths of its mean before the fault, for two seconds in a row; -1: not before
   * {@code endS}; 0: it never fell.
   */
  public static double seconds(List<HistoryEvent> history, long beginNs, double faultS, double endS,
      Set<String> nodes) {
    Map<String, Integer> second = new HashMap<>();
    Map<Integer, double[]> rows = new HashMap<>(); // passed, all; by the second of sending
    for (HistoryEvent l : history) {
      if (l.kind().equals("sent") && nodes.contains(l.get("node"))) {
        second.put(l.get("id"), (int) Math.floor((l.monoNs() - beginNs) / 1e9));
      }
      Integer at = l.kind().equals("got") ? second.get(l.get("id")) : null;
      if (at == null) continue;
      double[] row = rows.computeIfAbsent(at, k -> new double[2]);
      row[0] += l.get("how").equals("PASSED") ? 1 : 0;
      row[1]++;
    }
    double passed = 0;
    double all = 0;
    for (int s = WARM; s < (int) faultS; s++) {
      double[] row = rows.getOrDefault(s, new double[2]);
      passed += row[0];
      all += row[1];
    }
    double wanted = all == 0 ? 0 : BACK * passed / all;
    List<Boolean> good = new ArrayList<>();
    for (int s = (int) faultS; s < (int) endS; s++) {
      double[] row = rows.getOrDefault(s, new double[2]);
      good.add(row[1] == 0 || row[0] / row[1] >= wanted);
    }
    for (int i = 0; i + STEADY <= good.size(); i++) {
      boolean steady = true;
      for (int k = i; k < i + STEADY; k++) steady &= good.get(k);
      if (steady) return i;
    }
    return -1;
  }
}
