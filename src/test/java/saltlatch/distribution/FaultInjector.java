package saltlatch.distribution;

import java.util.List;
import java.util.SplittableRandom;

/** Generates changes of the source and random faults of all parts of a model from a seed. */
final class FaultInjector {
  private static final long MAX_FAULT_MS = 60_000;
  private static final long LONG_MEAN_GAP_MS = 2_000;
  private static final long SHORT_MEAN_GAP_MS = 400;
  private static final long MEAN_CHANGE_GAP_MS = 500;

  private final ModelFleet fleet;
  private final SplittableRandom random;
  private final long meanGapMs;
  private long endMs;
  private long faultsEndAtMs;

  FaultInjector(ModelFleet fleet, long seed) {
    this.fleet = fleet;
    random = new SplittableRandom(seed);
    meanGapMs = seed % 2 == 0 ? LONG_MEAN_GAP_MS : SHORT_MEAN_GAP_MS;
  }

  void begin(long durationMs) {
    endMs = fleet.simulation.now() + durationMs;
    faultsEndAtMs = endMs;
    scheduleChanges();
    scheduleFaults();
  }

  /** Returns when the last fault ends, in ms; this is not before the end of the given duration. */
  long allFaultsEndAt() {
    return faultsEndAtMs;
  }

  private void scheduleChanges() {
    if (fleet.simulation.now() < faultsEndAtMs) {
      fleet.source.change(fleet.simulation.now());
      fleet.simulation.schedule(random.nextLong(1, 2 * MEAN_CHANGE_GAP_MS), this::scheduleChanges);
    }
  }

  private void scheduleFaults() {
    if (fleet.simulation.now() < endMs) {
      injectFault();
      fleet.simulation.schedule(random.nextLong(1, 2 * meanGapMs), this::scheduleFaults);
    }
  }

  private void injectFault() {
    long durationMs = random.nextLong(100, random.nextBoolean() ? 3_000 : MAX_FAULT_MS);
    faultsEndAtMs = Math.max(faultsEndAtMs, fleet.simulation.now() + durationMs);
    switch (random.nextInt(10)) {
      case 0 -> fleet.killRelay(random.nextInt(fleet.relays.size()), Math.min(durationMs, 10_000));
      case 1 ->
        fleet.killWatcher(random.nextInt(fleet.watchers.size()), Math.min(durationMs, 10_000));
      case 2 -> fleet.cut(pick(fleet.relayNodes), pick(fleet.agentNodes), durationMs);
      case 3, 4 -> fleet.cut(pick(fleet.relayNodes), pick(fleet.relayNodes), durationMs);
      case 5 -> fleet.cut(pick(fleet.watcherNodes), pick(fleet.relayNodes), durationMs);
      case 6 -> fleet.stall(pick(fleet.watcherNodes), durationMs);
      case 7 -> fleet.stall(pick(fleet.relayNodes), durationMs);
      case 8 -> fleet.freeze(random.nextInt(fleet.agents.size()), durationMs);
      default -> injectRareFault(durationMs);
    }
  }

  private void injectRareFault(long durationMs) {
    switch (random.nextInt(4)) {
      case 0 -> fleet.source.beginSeries(fleet.simulation.now());
      case 1 -> fleet.agents.get(0).sendMalformedLine();
      case 2 -> fleet.watcherNodes
          .forEach(node -> fleet.killWatcher(fleet.watcherNodes.indexOf(node), 100));
      default -> fleet.freeze(0, durationMs);
    }
  }

  private ModelFleet.Node pick(List<ModelFleet.Node> nodes) {
    return nodes.get(random.nextInt(nodes.size()));
  }
}
