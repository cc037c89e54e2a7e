package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings;

/** A quota of 2 units a second and a burst of 6: a window lasts 3 s. Clients heed up to 1 s. */
class RetryAfterAdviceTest {
  private static final long WINDOW_TICKS = 30_000;
  private static final long NOW = 5_000;

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

  /** All clients of a spent quota would come back in the instant of the turn. */
  @Test
  void spreadsClientsOverHalfAWindowAfterTheTurn() {
    RequestState request = request();
    request.awaitingCounter = true;
    long first = advice.withoutQuota(request, NOW);
    long second = advice.withoutQuota(request, NOW);
    long turn = WINDOW_TICKS - NOW;
    assertTrue(first >= turn && first < turn + WINDOW_TICKS / 2, "after " + first);
    assertTrue(second >= turn && second < turn + WINDOW_TICKS / 2, "after " + second);
    assertTrue(first != second);
  }

  /** The counter is silent, so the quota may have room: the retry can still be in time. */
  @Test
  void advisesTheNextCounterCallWhileItBacksOff() {
    health.recordReply(false, NOW);
    health.recordReply(false, NOW);
    health.recordCall(NOW);
    long ticks = advice.withoutQuota(request(), NOW);
    assertTrue(ticks >= 100 && ticks < 200, "after " + ticks);
  }

  @Test
  void staysWithinWhatClientsHeed() {
    assertEquals(10_000, advice.limited(10_001));
    assertEquals(500, advice.limited(500));
    assertEquals(0, advice.limited(-1));
    assertEquals(10_000, advice.withoutCapacity());
  }

  @Test
  void sendsNoneWhereTheDeploymentForbidsIt() {
    GatewaySettings.Limits none = new GatewaySettings.Limits(false, true, 4, false, 10_000, true,
        100_000, 0.2, 4, 10_000);
    assertEquals(0, advice(none).limited(500));
  }
}
