package saltlatch.policy;

import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.api.Ticks;

/**
 * Whether a request may be sent again, to which app servers, and which final answer is safe.
 * Inputs: the request class's retry safety, what is known of earlier attempts, the number of
 * attempts. Times are in ticks.
 *
 * <p>An idempotent request may always be sent again. One with an idempotency key may while the
 * servers remember the key of its first attempt that may have been executed, and only to servers
 * that share that memory. Any other may only if no attempt can have been executed. Guards against a
 * request that is executed twice; a client that reads REJECTED sends its request again, so the same
 * holds for the final answer.
 */
final class RetryPolicy {
  /** As a rule an attempt's last byte has reached the server by then. */
  private static final long SENDING_TICKS = 20 * Ticks.PER_MILLISECOND;

  private final int maxAttempts;

  RetryPolicy(GatewaySettings.Limits limits) {
    maxAttempts = limits.maxAttempts();
  }

  /**
   * Whether another attempt may follow one that has ended, nothing being in flight.
   *
   * @param outcome how the last attempt ended
   */
  boolean mayRetry(RequestState request, AttemptOutcome outcome, long now) {
    return isAttemptSafe(request, now) && !request.streaming && now < request.deadlineTicks
        && outcome != AttemptOutcome.NOT_SENT && request.attemptCount < maxAttempts;
  }

  /** Whether an attempt that starts now can't be the second that is executed. */
  boolean isAttemptSafe(RequestState request, long now) {
    return !request.possiblyExecuted()
        || request.stats.requestClass.retrySafety() == RetrySafety.IDEMPOTENT
        || isKeyRemembered(request, now);
  }

  /** Whether the key of the first attempt that may have been executed outlives a new attempt. */
  private static boolean isKeyRemembered(RequestState request, long now) {
    GatewaySettings.RequestClass requestClass = request.stats.requestClass;
    return requestClass.retrySafety() == RetrySafety.IDEMPOTENT_BY_KEY
        && now + SENDING_TICKS < request.possiblyExecutedAtTicks + requestClass.keyTtlTicks();
  }

  /** Whether that server knows the request's key, if it has to. */
  static boolean sharesKeys(RequestState request, ServerState server) {
    GatewaySettings.RequestClass requestClass = request.stats.requestClass;
    if (requestClass.retrySafety() != RetrySafety.IDEMPOTENT_BY_KEY
        || !request.possiblyExecuted()) {
      return true;
    }
    return switch (requestClass.keyScope()) {
      case ALL -> true;
      case ZONE -> server.zone == request.possiblyExecutedOn.zone;
      case GROUP -> server.keyGroup == request.possiblyExecutedOn.keyGroup;
    };
  }

  /** Whether the client may send the request again, wherever that comes to. */
  static boolean isRejectSafe(RequestState request) {
    GatewaySettings.RequestClass requestClass = request.stats.requestClass;
    return !request.possiblyExecuted() && request.attempt == null
        || requestClass.retrySafety() == RetrySafety.IDEMPOTENT
        || requestClass.retrySafety() == RetrySafety.IDEMPOTENT_BY_KEY
            && requestClass.keyScope() == KeyScope.ALL;
  }
}
