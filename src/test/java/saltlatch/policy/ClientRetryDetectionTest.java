package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;

/** Clients wait 3 s, the objective is 1 s, an attempt is thought to take a quarter of it. */
class ClientRetryDetectionTest {
  private static final GatewaySettings.Limits LIMITS = PolicyFixtures.LIMITS;

  private final RequestClassStats stats = new RequestClassStats(DecisionTrace.IDEMPOTENT);

  private boolean isLate(boolean clientsMarkRetries, long clientTimeoutTicks, boolean retry) {
    GatewaySettings.Limits limits = new GatewaySettings.Limits(false, true, 4, true, 10_000,
        clientsMarkRetries, LIMITS.warmUpTicks(), LIMITS.initialCapacity(),
        LIMITS.warmUpBudgetFactor(), LIMITS.warmUpWindowTicks());
    GatewaySettings all = PolicyFixtures.SETTINGS;
    GatewaySettings settings = new GatewaySettings(7, 2, 20, limits, all.counter(), all.peers(),
        all.requestClasses(), all.quotaPlans());
    ClientRetryDetection detection = new ClientRetryDetection(settings,
        ObjectiveBounds.of(settings));
    // Most requests come with the usual timeout.
    for (int i = 0; i < 5; i++) {
      detection.isLateRetry(PolicyFixtures.arrival(30_000, false), stats);
    }
    return detection.isLateRetry(PolicyFixtures.arrival(clientTimeoutTicks, retry), stats);
  }

  /** A retry that comes 0.5 s after its first attempt needs another 0.5 s: too late. */
  @Test
  void aMarkedRetryIsLateByTheTimeoutLeft() {
    assertTrue(isLate(true, 25_000, true));
    assertFalse(isLate(true, 25_001, true));
    assertFalse(isLate(true, 25_000, false));
  }

  /** A marked retry with the full timeout hides how long its client has waited. */
  @Test
  void aMarkedRetryWithTheUsualTimeoutIsLate() {
    assertTrue(isLate(true, 30_000, true));
    assertFalse(isLate(true, 30_000, false));
  }

  @Test
  void withoutMarksAnUnusualTimeoutShowsARetry() {
    assertFalse(isLate(false, 30_000, false));
    assertTrue(isLate(false, 25_000, false));
    assertFalse(isLate(false, 29_000, false));
  }

  /** Clients change their timeout: the new one becomes the usual one once it has the majority. */
  @Test
  void theUsualTimeoutFollowsTheMajority() {
    for (int i = 0; i < 20; i++) {
      stats.recordTimeout(30_000, 20);
    }
    int unusual = 0;
    while (!stats.recordTimeout(20_000, 20)) {
      unusual++;
    }
    assertEquals(20, unusual);
  }
}
