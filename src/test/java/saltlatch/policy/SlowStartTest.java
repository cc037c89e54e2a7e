package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Warm-up lasts 10 s from a fifth of the capacity; the budget's factor is 4, its window 1 s. */
class SlowStartTest {
  private static final long STARTED_AT = 1_000;
  private static final int READY_SERVERS = 10;

  private final SlowStart slowStart = new SlowStart(PolicyFixtures.LIMITS, new SplittableRandom(1));
  private final ServerState server = new ServerState(1);

  SlowStartTest() {
    server.startedAtTicks = STARTED_AT;
    slowStart.beginWarmUp(server, STARTED_AT);
  }

  @Test
  void capacityRisesEvenly() {
    assertEquals(0.2, slowStart.capacity(server, STARTED_AT));
    assertEquals(0.6, slowStart.capacity(server, STARTED_AT + 50_000), 1e-9);
    assertEquals(1, slowStart.capacity(server, STARTED_AT + 100_000));
    assertTrue(slowStart.isWarmingUp(server, STARTED_AT + 99_999));
    assertFalse(slowStart.isWarmingUp(server, STARTED_AT + 100_000));
  }

  @Test
  void aServerThatStartedLongAgoIsWarm() {
    ServerState warm = new ServerState(2);
    assertEquals(1, slowStart.capacity(warm, STARTED_AT));
    warm.warmUpBudgetUnits = -100;
    assertTrue(slowStart.allows(warm, READY_SERVERS, STARTED_AT));
  }

  /** 10 units a server and window: a budget of 0.85 * 4 * 0.2 * 10 units a window at first. */
  @Test
  void theBudgetRefillsAndIsUsedUp() {
    slowStart.recordRequested(100);
    assertFalse(slowStart.allows(server, READY_SERVERS, STARTED_AT), "begins below one request");
    assertTrue(slowStart.allows(server, READY_SERVERS, STARTED_AT + 2_000));
    assertTrue(server.warmUpBudgetUnits < 1 + 0.85 * 4 * 0.22 * 10 * 0.2);
    slowStart.recordSent(server, 3);
    assertFalse(slowStart.allows(server, READY_SERVERS, STARTED_AT + 2_000));
    assertTrue(slowStart.allows(server, READY_SERVERS, STARTED_AT + 12_000));
  }

  /** Nothing was sent for long: no budget builds up beyond one request. */
  @Test
  void anIdleNodeSavesNoBudget() {
    slowStart.recordRequested(100);
    for (int i = 0; i < 200; i++) {
      slowStart.decay();
    }
    slowStart.allows(server, READY_SERVERS, STARTED_AT + 90_000);
    assertTrue(server.warmUpBudgetUnits <= 1);
  }
}
