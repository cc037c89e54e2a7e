package saltlatch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests the policies by which edge nodes choose a subset of a service's app servers. */
class SubsetTest {
  private static final int NODES = 2700;
  private static final int SUBSET_SIZE = 3;
  private static final long SEED = 7;

  @ParameterizedTest
  @EnumSource(SubsetPolicy.class)
  void everyNodeChoosesTheRequestedNumberOfServers(SubsetPolicy policy) {
    int[] servers = IntStream.range(100, 160).toArray();
    for (int[] chosen : policy.choose(NODES, servers, SUBSET_SIZE, SEED)) {
      assertEquals(SUBSET_SIZE,
          Arrays.stream(chosen).distinct().filter(server -> server >= 100 && server < 160).count());
    }
  }

  @ParameterizedTest
  @EnumSource(SubsetPolicy.class)
  void sameSeedGivesTheSameOutcomeAndAnotherSeedAnotherChoice(SubsetPolicy policy) {
    SubsetSimulation.Outcome first = SubsetSimulation.simulate(policy, NODES, 60, SUBSET_SIZE,
        SEED);
    assertEquals(first, SubsetSimulation.simulate(policy, NODES, 60, SUBSET_SIZE, SEED));
    int[] servers = IntStream.range(0, 60).toArray();
    assertTrue(!Arrays.deepEquals(policy.choose(NODES, servers, SUBSET_SIZE, SEED),
        policy.choose(NODES, servers, SUBSET_SIZE, SEED + 1)));
  }

  @Test
  void deterministicSubsetsAreEvenIfRoundsAreComplete() {
    SubsetSimulation.Outcome outcome = SubsetSimulation.simulate(SubsetPolicy.DETERMINISTIC, NODES,
        60, SUBSET_SIZE, SEED);
    assertEquals(1, outcome.max(), 1e-9);
    assertEquals(NODES * SUBSET_SIZE / 60, outcome.connections());
  }

  @Test
  void rendezvousHashingMovesTheMinimum() {
    SubsetSimulation.Outcome outcome = SubsetSimulation.simulate(SubsetPolicy.RENDEZVOUS, NODES, 60,
        SUBSET_SIZE, SEED);
    assertEquals(outcome.minimumMovedFraction(), outcome.movedFraction(), 1e-12);
    assertTrue(SubsetSimulation.simulate(SubsetPolicy.RANDOM, NODES, 60, SUBSET_SIZE, SEED)
        .movedFraction() > 0.5);
  }

  @Test
  void boundedRingKeepsItsBound() {
    SubsetSimulation.Outcome outcome = SubsetSimulation.simulate(SubsetPolicy.BOUNDED_RING, NODES,
        60, SUBSET_SIZE, SEED);
    assertTrue(outcome.connections() <= Math.ceil(SubsetPolicy.BOUND * NODES * SUBSET_SIZE / 60));
    assertTrue(outcome.movedFraction() < 0.2, "moved " + outcome.movedFraction());
  }

  @Test
  void allServersAreChosenIfThereAreNoMoreThanTheSubsetSize() {
    for (SubsetPolicy policy : SubsetPolicy.values()) {
      SubsetSimulation.Outcome outcome = SubsetSimulation.simulate(policy, NODES, SUBSET_SIZE,
          SUBSET_SIZE, SEED);
      assertEquals(NODES, outcome.connections(), policy.title());
      assertEquals(1, outcome.max(), 1e-9);
    }
  }
}
