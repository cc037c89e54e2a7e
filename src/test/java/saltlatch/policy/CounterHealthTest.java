package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;

/** Tests when counter calls back off and when the backoff ends. Times are in ticks. */
class CounterHealthTest {
  private static final long GROWTH_PERIOD_TICKS = 1_000;

  private final CounterHealth health = healthOf(2);

  private static CounterHealth healthOf(int nodes) {
    return new CounterHealth(PolicyFixtures.settings(nodes), new FleetSize(nodes));
  }

  /** A single lost call can happen by chance, so the counter remains healthy. */
  @Test
  void singleMissStartsNoBackoff() {
    assertFalse(health.recordReply(false, 0));
    assertFalse(health.lastCallAnswered());
    assertTrue(health.isHealthy());
    assertFalse(health.recordReply(true, 10));
    assertFalse(health.recordReply(false, 20));
    assertTrue(health.isHealthy());
  }

  /** After two consecutive misses, one call is sent every 10 ms. */
  @Test
  void twoConsecutiveMissesStartABackoff() {
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
  void backoffGrowsOncePerPeriodUpToItsMaximum() {
    health.recordReply(false, 0);
    health.recordReply(false, 0);
    assertFalse(health.recordReply(false, GROWTH_PERIOD_TICKS - 1));
    assertEquals(100, health.backoffTicks());
    assertTrue(health.recordReply(false, GROWTH_PERIOD_TICKS));
    assertEquals(150, health.backoffTicks());
    for (int period = 2; period < 20; period++) {
      health.recordReply(false, period * GROWTH_PERIOD_TICKS);
    }
    assertEquals(2_000, health.backoffTicks());
  }

  /**
   * With one request per second, calls are fewer than the backoff allows. Guards against a backoff
   * that remains long after the counter has recovered: fewer than 30 replies must end it.
   */
  @Test
  void repliesEndTheBackoffAtLowRequestRates() {
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

  /** A fleet of 200 nodes must not call more often than a fleet of 20. */
  @Test
  void backoffIsLongerInLargeFleets() {
    CounterHealth largeFleetHealth = healthOf(200);
    largeFleetHealth.recordReply(false, 0);
    largeFleetHealth.recordReply(false, 0);
    assertEquals(1_000, largeFleetHealth.backoffTicks());
  }

  @Test
  void noCallsInADeploymentWithoutCounter() {
    GatewaySettings withCounter = PolicyFixtures.SETTINGS;
    CounterHealth withoutCounter = new CounterHealth(new GatewaySettings(7, 2, 20,
        withCounter.limits(), new GatewaySettings.CounterSettings(false, false),
        withCounter.peers(), List.of(), List.of()), new FleetSize(2));
    assertFalse(withoutCounter.isHealthy());
    assertFalse(withoutCounter.isBackingOff());
    assertFalse(withoutCounter.mayCall(0));
  }
}
