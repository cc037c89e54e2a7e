package saltlatch.distribution;

import java.util.List;
import java.util.SplittableRandom;

/** Changes at the source and faults everywhere, drawn from a seed. */
final class FaultInjector {
  private static final long LONGEST_MS = 60_000;
  private static final long SELDOM_MS = 2_000;
  private static final long OFTEN_MS = 400;
  private static final long CHANGE_GAP_MS = 500;

  private final ModelFleet fleet;
  private final SplittableRandom random;
  private final long meanGapMs;
  private long end;
  private long over;

  FaultInjector(ModelFleet fleet, long seed) {
    this.fleet = fleet;
    random = new SplittableRandom(seed);
    meanGapMs = seed % 2 == 0 ? SELDOM_MS : OFTEN_MS;
  }

  void begin(long duration) {
    end = fleet.simulation.now() + duration;
    over = end;
    change();
    next();
  }

  /** When the last fault will have ended, ms: not before the duration given is over. */
  long allFaultsEndAt() {
    return over;
  }

  private void change() {
    if (fleet.simulation.now() < over) {
      fleet.source.change(fleet.simulation.now());
      fleet.simulation.after(random.nextLong(1, 2 * CHANGE_GAP_MS), this::change);
    }
  }

  private void next() {
    if (fleet.simulation.now() < end) {
      fault();
      fleet.simulation.after(random.nextLong(1, 2 * meanGapMs), this::next);
    }
  }

  private void fault() {
    long duration = random.nextLong(100, random.nextBoolean() ? 3_000 : LONGEST_MS);
    over = Math.max(over, fleet.simulation.now() + duration);
    switch (random.nextInt(10)) {
      case 0 -> fleet.killRelay(random.nextInt(fleet.relays.size()), Math.min(duration, 10_000));
      case 1 ->
        fleet.killWatcher(random.nextInt(fleet.watchers.size()), Math.min(duration, 10_000));
      case 2 -> fleet.cut(any(fleet.relayNodes), any(fleet.agentNodes), duration);
      case 3, 4 -> fleet.cut(any(fleet.relayNodes), any(fleet.relayNodes), duration);
      case 5 -> fleet.cut(any(fleet.watcherNodes), any(fleet.relayNodes), duration);
      case 6 -> fleet.stall(any(fleet.watcherNodes), duration);
      case 7 -> fleet.stall(any(fleet.relayNodes), duration);
      case 8 -> fleet.freeze(random.nextInt(fleet.agents.size()), duration);
      default -> seldom(duration);
    }
  }

  private void seldom(long duration) {
    switch (random.nextInt(4)) {
      case 0 -> fleet.source.beginSeries(fleet.simulation.now());
      case 1 -> fleet.agents.get(0).sendMalformedLine();
      case 2 -> fleet.watcherNodes
          .forEach(node -> fleet.killWatcher(fleet.watcherNodes.indexOf(node), 100));
      default -> fleet.freeze(0, duration);
    }
  }

  private ModelFleet.Node any(List<ModelFleet.Node> nodes) {
    return nodes.get(random.nextInt(nodes.size()));
  }
}
