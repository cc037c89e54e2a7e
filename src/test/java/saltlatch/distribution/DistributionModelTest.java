package saltlatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Two tiers of distributors under random faults, in virtual time. The invariants are checked at
 * every message. More and longer runs: {@code -Ddistribution.seeds=200 -Ddistribution.minutes=30}.
 */
class DistributionModelTest {
  private static final long SECOND = 1_000;
  private static final long MINUTE = 60 * SECOND;
  /** After the last fault all hold the source's version within so long. */
  private static final long CONVERGED_WITHIN = 60 * SECOND;
  private static final long IN_FORCE_WITHIN = 4 * SECOND;
  /** A watcher that moves has to notice (a reset), to wait (up to 1 s) and to ask again. */
  private static final long IN_FORCE_WITHIN_WITH_A_RELAY_KILLED = 4 * SECOND;
  private static final int SEEDS = Integer.getInteger("distribution.seeds", 20);
  private static final int MINUTES = Integer.getInteger("distribution.minutes", 10);
  private static final RelayLimits LIMITS = new RelayLimits(40, 100, 30, 20_000);
  private static final ModelFleet.FleetSize SMALL = new ModelFleet.FleetSize(2, 3, 24, 60, 20,
      LIMITS);
  private static final ModelFleet.InjectedFault NOTHING = new ModelFleet.InjectedFault() {};

  @Test
  void invariantsHoldUnderRandomFaults() {
    long longest = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      ModelFleet fleet = underFaults(seed, NOTHING);
      long took = timeToConverge(fleet);
      assertEquals(Set.of(), fleet.violations, "seed " + seed);
      assertTrue(took >= 0, "seed " + seed + " did not converge");
      longest = Math.max(longest, took);
    }
    System.out.println("simulated, " + SEEDS + " seeds of " + MINUTES
        + " minutes: converged within " + longest + " ms");
  }

  @Test
  void checkerFindsADroppedChange() {
    assertFound("holds another list", new ModelFleet.InjectedFault() {
      @Override
      public Message onTheWay(ModelLink link, Message message) {
        boolean several = message.kind() == Message.Kind.CHANGES && message.entries().size() > 1;
        return several
            ? withEntries(message, message.entries().subList(1, message.entries().size()))
            : message;
      }
    });
  }

  /**
   * Dropped on the way to one relay only: its watchers, and those of whoever follows it, hold the
   * wrong list.
   */
  @Test
  void checkerFindsARemovalLostOnTheWayToARelay() {
    assertFound("holds another list", new ModelFleet.InjectedFault() {
      @Override
      public Message onTheWay(ModelLink link, Message message) {
        boolean toRelay = link.from.toString().equals("second1")
            && message.kind() == Message.Kind.CHANGES;
        return toRelay ? withEntries(message,
            message.entries().stream().filter(entry -> !entry.removed()).toList()) : message;
      }
    });
  }

  @Test
  void checkerFindsMixedSeries() {
    assertFound("changes of another series", new ModelFleet.InjectedFault() {
      @Override
      public Message onTheWay(ModelLink link, Message message) {
        boolean toWatcher = link.from.toString().startsWith("watcher");
        return toWatcher && message.kind() == Message.Kind.SNAPSHOT
            ? new Message(Message.Kind.CHANGES, message.version(), message.entries()) : message;
      }
    });
  }

  @Test
  void checkerFindsAnOlderList() {
    assertFound("is sent back", new ModelFleet.InjectedFault() {
      private Message older;

      @Override
      public Message onTheWay(ModelLink link, Message message) {
        if (message.kind() != Message.Kind.SNAPSHOT) {
          return message;
        }
        Message former = older == null ? message : older;
        older = message;
        return former;
      }
    });
  }

  @Test
  void checkerFindsAnExceededBudget() {
    assertFound("bytes of lists in a second", new ModelFleet.InjectedFault() {
      @Override
      public long budget(RelayLimits limits) {
        return limits.snapshotBytesPerSecond() * 2 / 3;
      }
    });
  }

  @Test
  void checkerFindsLateKeepAlives() {
    assertFound("unaware", new ModelFleet.InjectedFault() {
      @Override
      public long ticksLate() {
        return 200;
      }
    });
  }

  @Test
  void checkerFindsASecondMessageOnTheWay() {
    assertFound("queues a second message", new ModelFleet.InjectedFault() {
      @Override
      public boolean drainsEarly() {
        return true;
      }
    });
  }

  @Test
  void checkerFindsOneThatNeverConverges() {
    ModelFleet fleet = underFaults(1, new ModelFleet.InjectedFault() {
      @Override
      public Message onTheWay(ModelLink link, Message message) {
        return link.from.toString().equals("watcher3") ? withEntries(message, null) : message;
      }
    });
    assertEquals(-1, timeToConverge(fleet));
  }

  private static void assertFound(String violation, ModelFleet.InjectedFault injectedFault) {
    ModelFleet fleet = underFaults(1, injectedFault);
    assertTrue(fleet.violations.stream().anyMatch(found -> found.contains(violation)),
        () -> "found " + fleet.violations);
  }

  /** The same message with other entries; a keep-alive where there are none to be told at all. */
  private static Message withEntries(Message message, List<Entry> entries) {
    return entries == null ? new Message(Message.Kind.KEEP_ALIVE, Version.NONE, List.of())
        : new Message(message.kind(), message.version(), entries);
  }

  /**
   * The size that is coming, simulated: 7 relays in two tiers, 2,700 watchers and 34,000 entries;
   * all start at once, then two changes a second for a minute, and a relay of the second tier
   * killed in another minute. Links delay by 1 to 30 ms and carry 10 MB a second.
   */
  @Test
  void sizeThatIsComing() {
    RelayLimits limits = new RelayLimits(1_500, 60_000, 4_096, 20_000_000);
    ModelFleet fleet = new ModelFleet(new ModelFleet.FleetSize(2, 5, 2_700, 45_333, 85, limits),
        10_000, 7, NOTHING);
    long started = System.nanoTime();
    long all = timeUntilWatchersHaveIt(fleet);
    report("start of all: " + all / SECOND + " s", fleet, started);
    changesForAMinute(fleet);
    assertTrue(Collections.max(fleet.applyDelaysMs) < IN_FORCE_WITHIN);
    report("2 changes/s for a minute", fleet, started);
    fleet.killRelay(4, 20 * SECOND);
    changesForAMinute(fleet);
    report("the same, a relay killed", fleet, started);
    assertTrue(Collections.max(fleet.applyDelaysMs) < IN_FORCE_WITHIN_WITH_A_RELAY_KILLED);
    assertEquals(Set.of(), fleet.violations);
  }

  private static long timeUntilWatchersHaveIt(ModelFleet fleet) {
    while (!fleet.watchersConverged()) {
      assertTrue(fleet.simulation.now() < 10 * MINUTE, "not all have a list");
      fleet.simulation.run(SECOND);
    }
    return fleet.simulation.now();
  }

  private static void changesForAMinute(ModelFleet fleet) {
    fleet.applyDelaysMs.clear();
    fleet.messages.clear();
    for (int change = 0; change < 120; change++) {
      fleet.source.change(fleet.simulation.now());
      fleet.simulation.run(SECOND / 2);
    }
    fleet.simulation.run(10 * SECOND);
    assertTrue(fleet.converged());
  }

  private static void report(String phase, ModelFleet fleet, long started) {
    List<Long> times = new ArrayList<>(fleet.applyDelaysMs);
    Collections.sort(times);
    String force = times.isEmpty() ? ""
        : ", in force p50 " + times.get(times.size() / 2) + " ms, p99 "
            + times.get(times.size() * 99 / 100) + " ms, max " + times.get(times.size() - 1)
            + " ms";
    System.out.println("simulated, " + phase + force + ", " + fleet.messages + ", "
        + (System.nanoTime() - started) / 1_000_000 + " ms of the model's run");
  }

  private static ModelFleet underFaults(long seed, ModelFleet.InjectedFault injectedFault) {
    ModelFleet fleet = new ModelFleet(SMALL, 1_000, seed, injectedFault);
    FaultInjector faults = new FaultInjector(fleet, seed);
    faults.begin(MINUTES * MINUTE);
    while (fleet.simulation.now() < faults.allFaultsEndAt()) {
      fleet.simulation.run(SECOND);
    }
    return fleet;
  }

  private static long timeToConverge(ModelFleet fleet) {
    for (long waited = 0; waited <= CONVERGED_WITHIN; waited += SECOND) {
      if (fleet.converged()) {
        return waited;
      }
      fleet.simulation.run(SECOND);
    }
    return -1;
  }
}
