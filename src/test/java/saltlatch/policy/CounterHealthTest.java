package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;

class CounterHealthTest {
  private static final long GROWTH_PERIOD_TICKS = 1_000;

  private final CounterHealth health = health(2);

  private static CounterHealth health(int nodes) {
    return new CounterHealth(PolicyFixtures.settings(nodes), new FleetSize(nodes));
  }

  /** A single call is lost by chance: the counter stays healthy. */
  @Test
  void oneMissIsNoBackoff() {
    assertFalse(health.recordReply(false, 0));
    assertFalse(health.lastCallAnswered());
    assertTrue(health.isHealthy());
    assertFalse(health.recordReply(true, 10));
    assertFalse(health.recordReply(false, 20));
    assertTrue(health.isHealthy());
  }

  /** Two misses in a row: one call each 10 ms goes out from then on. */
  @Test
  void twoMissesStartABackoff() {
    health.recordReply(false, 0);
    assertTrue(health.recordReply(false, 0));
    assertFalse(health.isHealthy());
    assertTrue(health.isBackingOff());
    assertTrue(health.mayCall(0));
    health.recordCall(0);
    assertFalse(health.mayCall(99));
    assertEquals(1, health.ticksUntilNextCall(99));
    assertTrue(health.mayCall(100));
  }

  @Test
  void backoffGrowsOnceAPeriodUpToItsMost() {
    health.recordReply(false, 0);
    health.recordReply(false, 0);
    assertFalse(health.recordReply(false, GROWTH_PERIOD_TICKS - 1));
    assertEquals(100, health.backoffTicks());
    assertTrue(health.recordReply(false, GROWTH_PERIOD_TICKS));
    assertEquals(150, health.backoffTicks());
    for (int i = 2; i < 20; i++) {
      health.recordReply(false, i * GROWTH_PERIOD_TICKS);
    }
    assertEquals(2_000, health.backoffTicks());
  }

  /** Requests come once a second: replies to the few calls end the backoff within seconds. */
  @Test
  void repliesEndTheBackoff() {
    health.recordReply(false, 0);
    health.recordReply(false, 0);
    int replies = 0;
    for (long now = 10_000; health.isBackingOff(); now += 10_000) {
      health.recordReply(true, now);
      replies++;
    }
    assertTrue(health.isHealthy());
    assertTrue(replies > 1 && replies < 30, replies + " replies");
  }

  /** 200 nodes together call no more often than 20 do. */
  @Test
  void largeFleetsStretchTheBackoff() {
    CounterHealth ofMany = health(200);
    ofMany.recordReply(false, 0);
    ofMany.recordReply(false, 0);
    assertEquals(1_000, ofMany.backoffTicks());
  }

  @Test
  void withoutACounterNothingIsCalled() {
    GatewaySettings with = PolicyFixtures.SETTINGS;
    CounterHealth none = new CounterHealth(
        new GatewaySettings(7, 2, 20, with.limits(),
            new GatewaySettings.CounterSettings(false, false), with.peers(), List.of(), List.of()),
        new FleetSize(2));
    assertFalse(none.isHealthy());
    assertFalse(none.isBackingOff());
    assertFalse(none.mayCall(0));
  }
}
