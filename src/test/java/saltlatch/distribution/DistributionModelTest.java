package saltlatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Runs two tiers of distributors with random faults in virtual time and checks the invariants at
 * every message. More and longer runs: {@code -Ddistribution.seeds=200 -Ddistribution.minutes=30}.
 */
class DistributionModelTest {
  private static final long SECOND_MS = 1_000;
  private static final long MINUTE_MS = 60 * SECOND_MS;
  /** Maximum time from the last fault until all nodes have the version of the source. */
  private static final long CONVERGENCE_DEADLINE_MS = 60 * SECOND_MS;
  private static final long APPLY_DEADLINE_MS = 4 * SECOND_MS;
  /**
   * Includes the time for a watcher to detect the reset, to wait (up to 1 s) and to reconnect to
   * another relay.
   */
  private static final long APPLY_DEADLINE_WITH_RELAY_KILLED_MS = 4 * SECOND_MS;
  private static final int SEEDS = Integer.getInteger("distribution.seeds", 20);
  private static final int MINUTES = Integer.getInteger("distribution.minutes", 10);
  private static final RelayLimits LIMITS = new RelayLimits(40, 100, 30, 20_000);
  private static final ModelFleet.FleetSize SMALL_FLEET = new ModelFleet.FleetSize(2, 3, 24, 60, 20,
      LIMITS);
  private static final ModelFleet.InjectedFault NO_FAULT = new ModelFleet.InjectedFault() {};

  @Test
  void invariantsHoldUnderRandomFaults() {
    long longestMs = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      ModelFleet fleet = runWithFaults(seed, NO_FAULT);
      long convergenceMs = convergenceTimeMs(fleet);
      assertEquals(Set.of(), fleet.violations, "seed " + seed);
      assertTrue(convergenceMs >= 0, "seed " + seed + " did not converge");
      longestMs = Math.max(longestMs, convergenceMs);
    }
    System.out.println("simulated, " + SEEDS + " seeds of " + MINUTES
        + " minutes: converged within " + longestMs + " ms");
  }

  @Test
  void modelDetectsDroppedChange() {
    assertDetected("has a different list than the source", new ModelFleet.InjectedFault() {
      @Override
      public Message deliveredMessage(ModelLink link, Message message) {
        boolean droppable = message.kind() == Message.Kind.CHANGES && message.entries().size() > 1;
        return droppable
            ? withEntries(message, message.entries().subList(1, message.entries().size()))
            : message;
      }
    });
  }

  /**
   * Drops removals on the link to one relay only, so that its watchers and those of any relay that
   * follows it have a wrong list.
   */
  @Test
  void modelDetectsRemovalLostOnTheLinkToARelay() {
    assertDetected("has a different list than the source", new ModelFleet.InjectedFault() {
      @Override
      public Message deliveredMessage(ModelLink link, Message message) {
        boolean toRelay = link.from.toString().equals("second1")
            && message.kind() == Message.Kind.CHANGES;
        return toRelay ? withEntries(message,
            message.entries().stream().filter(entry -> !entry.removed()).toList()) : message;
      }
    });
  }

  @Test
  void modelDetectsMixedSeries() {
    assertDetected("changes of another series", new ModelFleet.InjectedFault() {
      @Override
      public Message deliveredMessage(ModelLink link, Message message) {
        boolean toWatcher = link.from.toString().startsWith("watcher");
        return toWatcher && message.kind() == Message.Kind.SNAPSHOT
            ? new Message(Message.Kind.CHANGES, message.version(), message.entries()) : message;
      }
    });
  }

  @Test
  void modelDetectsOlderSnapshot() {
    assertDetected("which is not newer than", new ModelFleet.InjectedFault() {
      private Message previous;

      @Override
      public Message deliveredMessage(ModelLink link, Message message) {
        if (message.kind() != Message.Kind.SNAPSHOT) {
          return message;
        }
        Message delivered = previous == null ? message : previous;
        previous = message;
        return delivered;
      }
    });
  }

  @Test
  void modelDetectsExceededSnapshotBudget() {
    assertDetected("bytes of snapshots within one second", new ModelFleet.InjectedFault() {
      @Override
      public long checkedBudget(RelayLimits limits) {
        return limits.snapshotBytesPerSecond() * 2 / 3;
      }
    });
  }

  @Test
  void modelDetectsLateKeepAlives() {
    assertDetected("nothing for more than 2000 ms", new ModelFleet.InjectedFault() {
      @Override
      public long tickDelayMs() {
        return 200;
      }
    });
  }

  @Test
  void modelDetectsSecondMessageInFlight() {
    assertDetected("queues a second message", new ModelFleet.InjectedFault() {
      @Override
      public boolean drainsEarly() {
        return true;
      }
    });
  }

  @Test
  void modelDetectsWatcherThatNeverConverges() {
    ModelFleet fleet = runWithFaults(1, new ModelFleet.InjectedFault() {
      @Override
      public Message deliveredMessage(ModelLink link, Message message) {
        return link.from.toString().equals("watcher3") ? withEntries(message, null) : message;
      }
    });
    assertEquals(-1, convergenceTimeMs(fleet));
  }

  private static void assertDetected(String violation, ModelFleet.InjectedFault injectedFault) {
    ModelFleet fleet = runWithFaults(1, injectedFault);
    assertTrue(fleet.violations.stream().anyMatch(found -> found.contains(violation)),
        () -> "found " + fleet.violations);
  }

  /** Returns the message with other entries, or a keep-alive if {@code entries} is null. */
  private static Message withEntries(Message message, List<Entry> entries) {
    return entries == null ? new Message(Message.Kind.KEEP_ALIVE, Version.NONE, List.of())
        : new Message(message.kind(), message.version(), entries);
  }

  /**
   * Simulates the planned fleet size: 7 relays in two tiers, 2,700 watchers and 34,000 entries. All
   * nodes start at once, then the list changes twice per second for a minute, and for another
   * minute during which a relay of the second tier is killed. Links have a delay of 1 to 30 ms and
   * a bandwidth of 10 MB per second.
   */
  @Test
  void plannedFleetSizeMeetsTheApplyDeadlines() {
    RelayLimits limits = new RelayLimits(1_500, 60_000, 4_096, 20_000_000);
    ModelFleet fleet = new ModelFleet(new ModelFleet.FleetSize(2, 5, 2_700, 45_333, 85, limits),
        10_000, 7, NO_FAULT);
    long startedNanos = System.nanoTime();
    long convergedAtMs = timeUntilWatchersConverge(fleet);
    report("start of all: " + convergedAtMs / SECOND_MS + " s", fleet, startedNanos);
    changeForAMinute(fleet);
    assertTrue(Collections.max(fleet.applyDelaysMs) < APPLY_DEADLINE_MS);
    report("2 changes/s for a minute", fleet, startedNanos);
    fleet.killRelay(4, 20 * SECOND_MS);
    changeForAMinute(fleet);
    report("the same, a relay killed", fleet, startedNanos);
    assertTrue(Collections.max(fleet.applyDelaysMs) < APPLY_DEADLINE_WITH_RELAY_KILLED_MS);
    assertEquals(Set.of(), fleet.violations);
  }

  private static long timeUntilWatchersConverge(ModelFleet fleet) {
    while (!fleet.watchersConverged()) {
      assertTrue(fleet.simulation.now() < 10 * MINUTE_MS,
          "not all watchers have the list after 10 minutes");
      fleet.simulation.run(SECOND_MS);
    }
    return fleet.simulation.now();
  }

  private static void changeForAMinute(ModelFleet fleet) {
    fleet.applyDelaysMs.clear();
    fleet.messagesSent.clear();
    for (int change = 0; change < 120; change++) {
      fleet.source.change(fleet.simulation.now());
      fleet.simulation.run(SECOND_MS / 2);
    }
    fleet.simulation.run(10 * SECOND_MS);
    assertTrue(fleet.converged());
  }

  private static void report(String phase, ModelFleet fleet, long startedNanos) {
    List<Long> sortedDelays = new ArrayList<>(fleet.applyDelaysMs);
    Collections.sort(sortedDelays);
    String delays = sortedDelays.isEmpty() ? ""
        : ", in force p50 " + sortedDelays.get(sortedDelays.size() / 2) + " ms, p99 "
            + sortedDelays.get(sortedDelays.size() * 99 / 100) + " ms, max "
            + sortedDelays.get(sortedDelays.size() - 1) + " ms";
    System.out.println("simulated, " + phase + delays + ", " + fleet.messagesSent + ", "
        + (System.nanoTime() - startedNanos) / 1_000_000 + " ms of the model's run");
  }

  private static ModelFleet runWithFaults(long seed, ModelFleet.InjectedFault injectedFault) {
    ModelFleet fleet = new ModelFleet(SMALL_FLEET, 1_000, seed, injectedFault);
    FaultInjector faults = new FaultInjector(fleet, seed);
    faults.begin(MINUTES * MINUTE_MS);
    while (fleet.simulation.now() < faults.allFaultsEndAt()) {
      fleet.simulation.run(SECOND_MS);
    }
    return fleet;
  }

  private static long convergenceTimeMs(ModelFleet fleet) {
    for (long waitedMs = 0; waitedMs <= CONVERGENCE_DEADLINE_MS; waitedMs += SECOND_MS) {
      if (fleet.converged()) {
        return waitedMs;
      }
      fleet.simulation.run(SECOND_MS);
    }
    return -1;
  }
}
