package saltlatch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Policies by which nodes keep to a subset of a service's app servers. */
class SubsetTest {
  private static final int NODES = 2700;
  private static final int KEPT = 3;
  private static final long SEED = 7;

  @ParameterizedTest
  @EnumSource(SubsetPolicy.class)
  void everyNodeKeepsToAsManyDifferentServersAsAsked(SubsetPolicy policy) {
    int[] servers = IntStream.range(100, 160).toArray();
    for (int[] chosen : policy.choose(NODES, servers, KEPT, SEED)) {
      assertEquals(KEPT, Arrays.stream(chosen).distinct().filter(s -> s >= 100 && s < 160).count());
    }
  }

  @ParameterizedTest
  @EnumSource(SubsetPolicy.class)
  void theSameSeedGivesTheSameOutcomeAndAnotherAnother(SubsetPolicy policy) {
    SubsetSimulation.Outcome once = SubsetSimulation.simulate(policy, NODES, 60, KEPT, SEED);
    assertEquals(once, SubsetSimulation.simulate(policy, NODES, 60, KEPT, SEED));
    int[] servers = IntStream.range(0, 60).toArray();
    assertTrue(!Arrays.deepEquals(policy.choose(NODES, servers, KEPT, SEED),
        policy.choose(NODES, servers, KEPT, SEED + 1)));
  }

  @Test
  void deterministicSubsetsAreEvenWhereRoundsAreWhole() {
    SubsetSimulation.Outcome even = SubsetSimulation.simulate(SubsetPolicy.DETERMINISTIC, NODES, 60,
        KEPT, SEED);
    assertEquals(1, even.max(), 1e-9);
    assertEquals(NODES * KEPT / 60, even.connections());
  }

  @Test
  void rendezvousMovesNoMoreThanItMust() {
    SubsetSimulation.Outcome outcome = SubsetSimulation.simulate(SubsetPolicy.RENDEZVOUS, NODES, 60,
        KEPT, SEED);
    assertEquals(outcome.minimumMovedFraction(), outcome.movedFraction(), 1e-12);
    assertTrue(SubsetSimulation.simulate(SubsetPolicy.RANDOM, NODES, 60, KEPT, SEED)
        .movedFraction() > 0.5);
  }

  @Test
  void theBoundedRingKeepsItsBound() {
    SubsetSimulation.Outcome outcome = SubsetSimulation.simulate(SubsetPolicy.BOUNDED_RING, NODES,
        60, KEPT, SEED);
    assertTrue(outcome.connections() <= Math.ceil(SubsetPolicy.BOUND * NODES * KEPT / 60));
    assertTrue(outcome.movedFraction() < 0.2, "moved " + outcome.movedFraction());
  }

  @Test
  void ofNoMoreServersThanAreKeptAllAreKept() {
    for (SubsetPolicy policy : SubsetPolicy.values()) {
      SubsetSimulation.Outcome outcome = SubsetSimulation.simulate(policy, NODES, KEPT, KEPT, SEED);
      assertEquals(NODES, outcome.connections(), policy.title());
      assertEquals(1, outcome.max(), 1e-9);
    }
  }
}
