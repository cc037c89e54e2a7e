package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.lab.scenario.Scenario;

/**
 * Faults drawn from the scenario's seed and added to those that it names: from second {@code at_s}
 * on so many nodes are killed for good and so many others stopped for 8 to 14 s, then so many
 * splits follow each other, of any number of nodes from the others, for 8 to 14 s each. No I/O; one
 * seed, one schedule.
 */
public final class RandomFaults {
  private static final double SPREAD_S = 3; // s over which kills and stops are drawn
  private static final double LEAST_S = 8; // s that a stop or a split lasts at least
  private static final double RANGE_S = 6; // s that it may last longer
  private static final double APART_S = 6; // s between splits
  private static final long OWN = 0xD7A3L; // the draws are not those of the load

  private RandomFaults() {}

  public static Scenario addTo(Scenario s) {
    Scenario.RandomFaults d = s.drawn();
    if (d == null) return s;
    SplittableRandom chance = new SplittableRandom(s.seed() ^ OWN);
    List<Integer> nodes = new ArrayList<>();
    for (int i = 0; i < s.nodes(); i++) nodes.add(i);
    for (int i = nodes.size() - 1; i > 0; i--)
      nodes.set(i, nodes.set(chance.nextInt(i + 1), nodes.get(i)));
    List<Scenario.ProcessFault> processes = new ArrayList<>(s.processes().faults());
    for (int i = 0; i < d.kills() + d.pauses() && i < nodes.size(); i++) {
      double at = d.atS() + SPREAD_S * chance.nextDouble();
      boolean kill = i < d.kills();
      processes.add(new Scenario.ProcessFault(kill ? "kill" : "pause", at, kill ? 0 : lasts(chance),
          "n" + nodes.get(i), 0, false, 0, false));
    }
    List<Scenario.LinkFault> links = new ArrayList<>(s.links().faults());
    double at = d.atS() + SPREAD_S + LEAST_S + RANGE_S;
    for (int i = 0; i < d.splits(); i++) {
      int side = 1 + chance.nextInt(Math.max(1, nodes.size() / 2));
      int turn = chance.nextInt(nodes.size());
      List<String> one = new ArrayList<>();
      List<String> rest = new ArrayList<>();
      for (int k = 0; k < nodes.size(); k++)
        (k < side ? one : rest).add("n" + nodes.get((k + turn) % nodes.size()));
      double lasts = lasts(chance);
      links.add(new Scenario.LinkFault("cut", at, lasts, String.join(",", one),
          String.join(",", rest), false, 0, 0, 0));
      at += lasts + APART_S;
    }
    return s.withFaults(processes, links);
  }

  private static double lasts(SplittableRandom chance) {
    return LEAST_S + RANGE_S * chance.nextDouble();
  }
}
