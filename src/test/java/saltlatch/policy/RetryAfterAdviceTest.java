package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;

/**
 * Uses a quota of 2 units per second with a burst of 6 units, so a window lasts 3 s. Clients
 * respect a Retry-After of at most 1 s. Times are in ticks.
 */
class RetryAfterAdviceTest {
  private static final long WINDOW_TICKS = 30_000;
  private static final long NOW_TICKS = 5_000;

  private final CounterHealth health = new CounterHealth(PolicyFixtures.SETTINGS, new FleetSize(2));
  private final RetryAfterAdvice advice = advice(PolicyFixtures.LIMITS);

  private RetryAfterAdvice advice(GatewaySettings.Limits limits) {
    return new RetryAfterAdvice(limits, health, new QuotaGossip(0, 2, 0, 0),
        new SplittableRandom(1));
  }

  private static RequestState request() {
    RequestState request = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    request.window = new QuotaWindow(request.customer, 1, WINDOW_TICKS);
    return request;
  }

  /**
   * Guards against all clients of an exhausted quota retrying at the instant at which the next
   * window starts.
   */
  @Test
  void spreadsRetriesOverHalfAWindowAfterTheNextWindowStarts() {
    RequestState request = request();
    request.awaitingCounter = true;
    long firstTicks = advice.withoutQuota(request, NOW_TICKS);
    long secondTicks = advice.withoutQuota(request, NOW_TICKS);
    long untilNextWindow = WINDOW_TICKS - NOW_TICKS;
    long latest = untilNextWindow + WINDOW_TICKS / 2;
    assertTrue(firstTicks >= untilNextWindow && firstTicks < latest,
        "retry after " + firstTicks + " ticks");
    assertTrue(secondTicks >= untilNextWindow && secondTicks < latest,
        "retry after " + secondTicks + " ticks");
    assertTrue(firstTicks != secondTicks);
  }

  /**
   * While the counter does not reply, the quota may still have capacity. A retry at the next
   * counter call can still be answered in time.
   */
  @Test
  void advisesNextCounterCallDuringBackoff() {
    health.recordReply(false, NOW_TICKS);
    health.recordReply(false, NOW_TICKS);
    health.recordCall(NOW_TICKS);
    long retryAfterTicks = advice.withoutQuota(request(), NOW_TICKS);
    assertTrue(retryAfterTicks >= 100 && retryAfterTicks < 200,
        "retry after " + retryAfterTicks + " ticks");
  }

  @Test
  void limitsAdviceToTheMaximumThatClientsRespect() {
    assertEquals(10_000, advice.limited(10_001));
    assertEquals(500, advice.limited(500));
    assertEquals(0, advice.limited(-1));
    assertEquals(10_000, advice.withoutCapacity());
  }

  @Test
  void sendsNoRetryAfterIfTheDeploymentDisablesIt() {
    GatewaySettings.Limits withoutRetryAfter = new GatewaySettings.Limits(false, true, 4, false,
        10_000, true, 100_000, 0.2, 4, 10_000);
    assertEquals(0, advice(withoutRetryAfter).limited(500));
  }
}
