package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;

/**
 * Uses clients that wait 3 s, a latency objective of 1 s and an expected attempt time of a quarter
 * of the objective. Times are in ticks.
 */
class ClientRetryDetectionTest {
  private static final GatewaySettings.Limits LIMITS = PolicyFixtures.LIMITS;

  private final RequestClassStats stats = new RequestClassStats(DecisionTrace.IDEMPOTENT);

  private boolean isLate(boolean clientsMarkRetries, long clientTimeoutTicks, boolean retry) {
    GatewaySettings.Limits limits = new GatewaySettings.Limits(false, true, 4, true, 10_000,
        clientsMarkRetries, LIMITS.warmUpTicks(), LIMITS.initialCapacity(),
        LIMITS.warmUpBudgetFactor(), LIMITS.warmUpWindowTicks());
    GatewaySettings defaults = PolicyFixtures.SETTINGS;
    GatewaySettings settings = new GatewaySettings(7, 2, 20, limits, defaults.counter(),
        defaults.peers(), defaults.requestClasses(), defaults.quotaPlans());
    ClientRetryDetection detection = new ClientRetryDetection(settings,
        ObjectiveBounds.of(settings));
    // Makes 30,000 ticks the usual timeout: most requests have it.
    for (int i = 0; i < 5; i++) {
      detection.isLateRetry(PolicyFixtures.arrival(30_000, false), stats);
    }
    return detection.isLateRetry(PolicyFixtures.arrival(clientTimeoutTicks, retry), stats);
  }

  /**
   * A retry that is sent 0.5 s after the first attempt needs two attempt times, another 0.5 s, so
   * it misses the objective.
   */
  @Test
  void markedRetryIsLateIfItsRemainingTimeoutIsTooShort() {
    assertTrue(isLate(true, 25_000, true));
    assertFalse(isLate(true, 25_001, true));
    assertFalse(isLate(true, 25_000, false));
  }

  /**
   * The timeout of a marked retry with the usual timeout does not show how long its client has
   * waited, so the retry is considered late.
   */
  @Test
  void markedRetryWithTheUsualTimeoutIsLate() {
    assertTrue(isLate(true, 30_000, true));
    assertFalse(isLate(true, 30_000, false));
  }

  @Test
  void withoutRetryMarksAnUnusualTimeoutIdentifiesARetry() {
    assertFalse(isLate(false, 30_000, false));
    assertTrue(isLate(false, 25_000, false));
    assertFalse(isLate(false, 29_000, false));
  }

  /**
   * When clients change their timeout, the new timeout becomes the usual one as soon as the
   * majority of requests has it.
   */
  @Test
  void usualTimeoutFollowsTheMajority() {
    for (int i = 0; i < 20; i++) {
      stats.recordTimeout(30_000, 20);
    }
    int unusualTimeouts = 0;
    while (!stats.recordTimeout(20_000, 20)) {
      unusualTimeouts++;
    }
    assertEquals(20, unusualTimeouts);
  }
}
