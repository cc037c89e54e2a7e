package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;

/**
 * Uses servers that remember idempotency keys for 2 s, and at most four attempts per request. Times
 * are in ticks.
 */
class RetryPolicyTest {
  private static final long KEY_TTL_TICKS = 20_000;

  private final RetryPolicy policy = new RetryPolicy(PolicyFixtures.LIMITS);

  private static RequestState possiblyExecutedRequest(GatewaySettings.RequestClass requestClass) {
    RequestState request = PolicyFixtures.request(requestClass);
    request.attemptCount = 1;
    request.possiblyExecutedAtTicks = 0;
    request.possiblyExecutedOn = server(1, 1);
    return request;
  }

  private static ServerState server(int zone, int keyGroup) {
    ServerState server = new ServerState(10 * zone + keyGroup);
    server.zone = zone;
    server.keyGroup = keyGroup;
    return server;
  }

  private static GatewaySettings.RequestClass idempotentByKey(KeyScope scope) {
    return new GatewaySettings.RequestClass(RetrySafety.IDEMPOTENT_BY_KEY, scope, KEY_TTL_TICKS,
        10_000, 30_000, 1);
  }

  private boolean mayRetry(RequestState request, long now) {
    return policy.mayRetry(request, AttemptOutcome.CONNECTION_LOST, now);
  }

  /**
   * Guards against executing a request twice if it is not idempotent: it is retried only if no
   * attempt can have been executed.
   */
  @Test
  void possiblyExecutedRequestIsRetriedOnlyIfIdempotent() {
    assertTrue(mayRetry(possiblyExecutedRequest(DecisionTrace.IDEMPOTENT), 100));
    assertFalse(mayRetry(possiblyExecutedRequest(DecisionTrace.NOT_IDEMPOTENT), 100));
    assertTrue(mayRetry(PolicyFixtures.request(DecisionTrace.NOT_IDEMPOTENT), 100));
  }

  /**
   * Guards against a retry that the server receives completely only after it has discarded the key:
   * it would execute the request a second time. Sending is assumed to take 20 ms.
   */
  @Test
  void keyMustBeRememberedUntilTheRetryIsReceived() {
    RequestState request = possiblyExecutedRequest(DecisionTrace.IDEMPOTENT_BY_KEY);
    assertTrue(mayRetry(request, KEY_TTL_TICKS - 201));
    assertFalse(mayRetry(request, KEY_TTL_TICKS - 200));
  }

  @Test
  void noRetryIfStreamingExhaustedLateOrNotSent() {
    RequestState streaming = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    streaming.streaming = true;
    assertFalse(mayRetry(streaming, 100));
    RequestState exhausted = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    exhausted.attemptCount = 4;
    assertFalse(mayRetry(exhausted, 100));
    RequestState late = PolicyFixtures.request(DecisionTrace.IDEMPOTENT);
    assertTrue(mayRetry(late, late.deadlineTicks - 1));
    assertFalse(mayRetry(late, late.deadlineTicks));
    assertFalse(policy.mayRetry(late, AttemptOutcome.NOT_SENT, 100));
  }

  /** Servers outside the scope of the key would execute the request again. */
  @Test
  void retryStaysWithinTheScopeOfItsKey() {
    RequestState groupScoped = possiblyExecutedRequest(idempotentByKey(KeyScope.GROUP));
    assertTrue(RetryPolicy.sharesKeys(groupScoped, server(2, 1)));
    assertFalse(RetryPolicy.sharesKeys(groupScoped, server(1, 2)));
    RequestState zoneScoped = possiblyExecutedRequest(idempotentByKey(KeyScope.ZONE));
    assertTrue(RetryPolicy.sharesKeys(zoneScoped, server(1, 2)));
    assertFalse(RetryPolicy.sharesKeys(zoneScoped, server(2, 1)));
    assertTrue(RetryPolicy.sharesKeys(possiblyExecutedRequest(idempotentByKey(KeyScope.ALL)),
        server(2, 2)));
    assertTrue(RetryPolicy.sharesKeys(PolicyFixtures.request(idempotentByKey(KeyScope.GROUP)),
        server(2, 2)));
  }

  /**
   * A rejected client sends its request again, possibly to another server. Rejection must therefore
   * not cause a second execution.
   */
  @Test
  void rejectionIsSafeOnlyIfTheClientMayRetryOnAnyServer() {
    assertTrue(RetryPolicy.isRejectSafe(possiblyExecutedRequest(DecisionTrace.IDEMPOTENT)));
    assertTrue(RetryPolicy.isRejectSafe(possiblyExecutedRequest(idempotentByKey(KeyScope.ALL))));
    assertFalse(RetryPolicy.isRejectSafe(possiblyExecutedRequest(idempotentByKey(KeyScope.ZONE))));
    assertFalse(RetryPolicy.isRejectSafe(possiblyExecutedRequest(DecisionTrace.NOT_IDEMPOTENT)));
    RequestState inFlight = PolicyFixtures.request(DecisionTrace.NOT_IDEMPOTENT);
    assertTrue(RetryPolicy.isRejectSafe(inFlight));
    inFlight.attempt = new Attempt(server(1, 1), 0, 100);
    assertFalse(RetryPolicy.isRejectSafe(inFlight));
  }
}
