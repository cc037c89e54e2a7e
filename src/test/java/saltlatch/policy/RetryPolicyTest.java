package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;

/** Keys are remembered for 2 s; four attempts of a request are allowed. */
class RetryPolicyTest {
  private static final long KEY_TTL_TICKS = 20_000;

  private final RetryPolicy policy = new RetryPolicy(PolicyFixtures.LIMITS);

  private static RequestState possiblyExecuted(GatewaySettings.RequestClass requestClass) {
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

  private static GatewaySettings.RequestClass byKey(KeyScope scope) {
    return new GatewaySettings.RequestClass(RetrySafety.IDEMPOTENT_BY_KEY, scope, KEY_TTL_TICKS,
        10_000, 30_000, 1);
  }

  private boolean mayRetry(RequestState request, long now) {
    return policy.mayRetry(request, AttemptOutcome.CONNECTION_LOST, now);
  }

  /** A request that is executed twice does harm, unless it is idempotent. */
  @Test
  void onlyIdempotentRequestsAreRepeated() {
    assertTrue(mayRetry(possiblyExecuted(DecisionTrace.IDEMPOTENT), 100));
    assertFalse(mayRetry(possiblyExecuted(DecisionTrace.NOT_IDEMPOTENT), 100));
    assertTrue(mayRetry(PolicyFixtures.request(DecisionTrace.NOT_IDEMPOTENT), 100));
  }

  /** The key is forgotten before the new attempt's last byte is there: no retry. */
  @Test
  void aKeyMustOutliveTheAttempt() {
    RequestState request = possiblyExecuted(DecisionTrace.IDEMPOTENT_BY_KEY);
    assertTrue(mayRetry(request, KEY_TTL_TICKS - 201));
    assertFalse(mayRetry(request, KEY_TTL_TICKS - 200));
  }

  @Test
  void noRetryWithoutNeedOrRoom() {
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

  /** Servers outside the key's scope would execute the request anew. */
  @Test
  void aRetryStaysWhereItsKeyIsRemembered() {
    RequestState group = possiblyExecuted(byKey(KeyScope.GROUP));
    assertTrue(RetryPolicy.sharesKeys(group, server(2, 1)));
    assertFalse(RetryPolicy.sharesKeys(group, server(1, 2)));
    RequestState zone = possiblyExecuted(byKey(KeyScope.ZONE));
    assertTrue(RetryPolicy.sharesKeys(zone, server(1, 2)));
    assertFalse(RetryPolicy.sharesKeys(zone, server(2, 1)));
    assertTrue(RetryPolicy.sharesKeys(possiblyExecuted(byKey(KeyScope.ALL)), server(2, 2)));
    assertTrue(RetryPolicy.sharesKeys(PolicyFixtures.request(byKey(KeyScope.GROUP)), server(2, 2)));
  }

  /** A client that is rejected sends its request again, to any server. */
  @Test
  void rejectionIsSafeOnlyWhereAClientMayRepeat() {
    assertTrue(RetryPolicy.isRejectSafe(possiblyExecuted(DecisionTrace.IDEMPOTENT)));
    assertTrue(RetryPolicy.isRejectSafe(possiblyExecuted(byKey(KeyScope.ALL))));
    assertFalse(RetryPolicy.isRejectSafe(possiblyExecuted(byKey(KeyScope.ZONE))));
    assertFalse(RetryPolicy.isRejectSafe(possiblyExecuted(DecisionTrace.NOT_IDEMPOTENT)));
    RequestState inFlight = PolicyFixtures.request(DecisionTrace.NOT_IDEMPOTENT);
    assertTrue(RetryPolicy.isRejectSafe(inFlight));
    inFlight.attempt = new Attempt(server(1, 1), 0, 100);
    assertFalse(RetryPolicy.isRejectSafe(inFlight));
  }
}
