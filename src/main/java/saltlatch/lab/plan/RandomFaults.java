package saltlatch.lab.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.lab.scenario.Scenario;

/**
 * Draws faults from the scenario's seed and adds them to the faults that the scenario lists. From
 * second {@code at_s} on, {@code kills} nodes are killed permanently and {@code pauses} other nodes
 * are stopped for 8 to 14 s. Then {@code splits} network partitions follow each other, each of 8 to
 * 14 s between a random group of up to half of the nodes and the rest. The class does no I/O; one
 * seed gives one schedule.
 */
public final class RandomFaults {
  // Kills and stops start within this time after at_s.
  private static final double START_WINDOW_S = 3;
  // A stop or a partition lasts from MIN_DURATION_S to MIN_DURATION_S + DURATION_RANGE_S.
  private static final double MIN_DURATION_S = 8;
  private static final double DURATION_RANGE_S = 6;
  private static final double PARTITION_INTERVAL_S = 6; // from the end of one to the next
  // Changes the scenario's seed, so that these draws differ from those of the load.
  private static final long SEED_MASK = 0xD7A3L;

  private RandomFaults() {}

  /**
   * Returns the scenario with the drawn faults added, or the scenario itself if it requests none.
   */
  public static Scenario addTo(Scenario scenario) {
    Scenario.RandomFaults requested = scenario.drawn();
    if (requested == null) return scenario;
    SplittableRandom random = new SplittableRandom(scenario.seed() ^ SEED_MASK);
    List<Integer> nodes = new ArrayList<>();
    for (int i = 0; i < scenario.nodes(); i++) nodes.add(i);
    for (int i = nodes.size() - 1; i > 0; i--)
      nodes.set(i, nodes.set(random.nextInt(i + 1), nodes.get(i)));
    List<Scenario.ProcessFault> processFaults = new ArrayList<>(scenario.processes().faults());
    for (int i = 0; i < requested.kills() + requested.pauses() && i < nodes.size(); i++) {
      double startS = requested.atS() + START_WINDOW_S * random.nextDouble();
      boolean kill = i < requested.kills();
      processFaults.add(new Scenario.ProcessFault(kill ? "kill" : "pause", startS,
          kill ? 0 : durationS(random), "n" + nodes.get(i), 0, false, 0, false));
    }
    List<Scenario.LinkFault> linkFaults = new ArrayList<>(scenario.links().faults());
    double startS = requested.atS() + START_WINDOW_S + MIN_DURATION_S + DURATION_RANGE_S;
    for (int i = 0; i < requested.splits(); i++) {
      int groupSize = 1 + random.nextInt(Math.max(1, nodes.size() / 2));
      int rotation = random.nextInt(nodes.size());
      List<String> group = new ArrayList<>();
      List<String> rest = new ArrayList<>();
      for (int k = 0; k < nodes.size(); k++)
        (k < groupSize ? group : rest).add("n" + nodes.get((k + rotation) % nodes.size()));
      double durationS = durationS(random);
      linkFaults.add(new Scenario.LinkFault("cut", startS, durationS, String.join(",", group),
          String.join(",", rest), false, 0, 0, 0));
      startS += durationS + PARTITION_INTERVAL_S;
    }
    return scenario.withFaults(processFaults, linkFaults);
  }

  private static double durationS(SplittableRandom random) {
    return MIN_DURATION_S + DURATION_RANGE_S * random.nextDouble();
  }
}
