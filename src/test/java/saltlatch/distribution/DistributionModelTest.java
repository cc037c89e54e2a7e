package saltlatch.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;

/**
 * Two tiers of distributors under random faults, in virtual time. The invariants are checked at every message. More and longer
 * runs: {@code -Ddistribution.seeds=200 -Ddistribution.minutes=30}.
 */
class DistributionModelTest {
  private static final long SECOND = 1_000;
  private static final long MINUTE = 60 * SECOND;
  /** After the last fault all hold the source's version within so long. */
  private static final long CONVERGED_WITHIN = 60 * SECOND;
  private static final int SEEDS = Integer.getInteger("distribution.seeds", 8);
  private static final int MINUTES = Integer.getInteger("distribution.minutes", 5);
  private static final Limits LIMITS = new Limits(40, 100, 30, 20_000);
  private static final ModelFleet.Shape SMALL = new ModelFleet.Shape(2, 3, 24, 60, 20, LIMITS);
  private static final ModelFleet.Plant NOTHING = new ModelFleet.Plant() {};

  @Test
  void invariantsHoldUnderRandomFaults() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ModelFleet fleet = underFaults(seed, NOTHING);
      long took = timeToConverge(fleet);
      assertEquals(Set.of(), fleet.violations, "seed " + seed);
      assertTrue(took >= 0, "seed " + seed + " did not converge");
      System.out.println("seed " + seed + " converged in " + took + " " + fleet.messages);
    }
  }

  private static ModelFleet underFaults(long seed, ModelFleet.Plant plant) {
    ModelFleet fleet = new ModelFleet(SMALL, 1_000, seed, plant);
    Faults faults = new Faults(fleet, seed);
    faults.begin(MINUTES * MINUTE);
    while (fleet.simulation.now() < faults.over()) {
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
