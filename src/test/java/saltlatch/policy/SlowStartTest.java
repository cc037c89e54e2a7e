package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Uses a warm-up of 10 s that starts at a fifth of the capacity, and a warm-up budget with a factor
 * of 4 and a window of 1 s. Times are in ticks.
 */
class SlowStartTest {
  private static final long STARTED_AT_TICKS = 1_000;
  private static final int READY_SERVERS = 10;

  private final SlowStart slowStart = new SlowStart(PolicyFixtures.LIMITS, new SplittableRandom(1));
  private final ServerState server = new ServerState(1);

  SlowStartTest() {
    server.startedAtTicks = STARTED_AT_TICKS;
    slowStart.beginWarmUp(server, STARTED_AT_TICKS);
  }

  @Test
  void capacityRisesLinearlyDuringWarmUp() {
    assertEquals(0.2, slowStart.capacity(server, STARTED_AT_TICKS));
    assertEquals(0.6, slowStart.capacity(server, STARTED_AT_TICKS + 50_000), 1e-9);
    assertEquals(1, slowStart.capacity(server, STARTED_AT_TICKS + 100_000));
    assertTrue(slowStart.isWarmingUp(server, STARTED_AT_TICKS + 99_999));
    assertFalse(slowStart.isWarmingUp(server, STARTED_AT_TICKS + 100_000));
  }

  @Test
  void serverWithoutStartTimeIsWarm() {
    ServerState warm = new ServerState(2);
    assertEquals(1, slowStart.capacity(warm, STARTED_AT_TICKS));
    warm.warmUpBudgetUnits = -100;
    assertTrue(slowStart.allows(warm, READY_SERVERS, STARTED_AT_TICKS));
  }

  /**
   * The node sends 10 units per server and window, so the budget is initially 0.85 * 4 * 0.2 * 10
   * units per window.
   */
  @Test
  void budgetRefillsAndIsSpentByRequests() {
    slowStart.recordRequested(100);
    assertFalse(slowStart.allows(server, READY_SERVERS, STARTED_AT_TICKS),
        "the initial budget is less than one request");
    assertTrue(slowStart.allows(server, READY_SERVERS, STARTED_AT_TICKS + 2_000));
    assertTrue(server.warmUpBudgetUnits < 1 + 0.85 * 4 * 0.22 * 10 * 0.2);
    slowStart.recordSent(server, 3);
    assertFalse(slowStart.allows(server, READY_SERVERS, STARTED_AT_TICKS + 2_000));
    assertTrue(slowStart.allows(server, READY_SERVERS, STARTED_AT_TICKS + 12_000));
  }

  /**
   * On a node that sends nothing for 200 housekeeping periods, the budget must not grow beyond one
   * request.
   */
  @Test
  void idleNodeAccumulatesNoBudget() {
    slowStart.recordRequested(100);
    for (int period = 0; period < 200; period++) {
      slowStart.decay();
    }
    slowStart.allows(server, READY_SERVERS, STARTED_AT_TICKS + 90_000);
    assertTrue(server.warmUpBudgetUnits <= 1);
  }
}
