package saltlatch.policy;

import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.api.Ticks;

/**
 * Decides whether a request may be retried, at which app servers, and which final answer is safe.
 * Inputs are the retry safety of the request class, the state of earlier attempts and their number.
 * Times are in ticks.
 *
 * <p>An idempotent request may always be retried. A request with an idempotency key may be retried
 * while the servers store the key of its first attempt that may have been executed, and only at
 * servers that share stored keys with the server of that attempt. Any other request may be retried
 * only if no attempt can have been executed. Guards against executing a request twice. A client
 * that receives REJECTED may send its request again, so the same conditions apply to a rejection.
 */
final class RetryPolicy {
  /** Time within which the last byte of an attempt normally reaches the server. */
  private static final long SENDING_TICKS = 20 * Ticks.PER_MILLISECOND;

  private final int maxAttempts;

  RetryPolicy(GatewaySettings.Limits limits) {
    maxAttempts = limits.maxAttempts();
  }

  /**
   * Returns whether another attempt may follow one that has ended. No attempt may be in flight.
   *
   * @param outcome how the last attempt ended
   */
  boolean mayRetry(RequestState request, AttemptOutcome outcome, long now) {
    return isAttemptSafe(request, now) && !request.streaming && now < request.deadlineTicks
        && outcome != AttemptOutcome.NOT_SENT && request.attemptCount < maxAttempts;
  }

  /** Returns whether an attempt that starts now cannot execute the request a second time. */
  boolean isAttemptSafe(RequestState request, long now) {
    return !request.possiblyExecuted()
        || request.stats.requestClass.retrySafety() == RetrySafety.IDEMPOTENT
        || isKeyRemembered(request, now);
  }

  /**
   * Returns whether servers still store the key of the first attempt that may have been executed
   * when a new attempt reaches them.
   */
  private static boolean isKeyRemembered(RequestState request, long now) {
    GatewaySettings.RequestClass requestClass = request.stats.requestClass;
    return requestClass.retrySafety() == RetrySafety.IDEMPOTENT_BY_KEY
        && now + SENDING_TICKS < request.possiblyExecutedAtTicks + requestClass.keyTtlTicks();
  }

  /**
   * Returns whether a server shares stored idempotency keys with the server that may have executed
   * the request; true if the request does not depend on a key.
   */
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

  /**
   * Returns whether the client may send the request again, whichever node and server receive it.
   */
  static boolean isRejectSafe(RequestState request) {
    GatewaySettings.RequestClass requestClass = request.stats.requestClass;
    return (!request.possiblyExecuted() && request.attempt == null)
        || requestClass.retrySafety() == RetrySafety.IDEMPOTENT
        || (requestClass.retrySafety() == RetrySafety.IDEMPOTENT_BY_KEY
            && requestClass.keyScope() == KeyScope.ALL);
  }
}
