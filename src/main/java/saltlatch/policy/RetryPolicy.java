package saltlatch.policy;

import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.api.Ticks;

/**
 * Decides whether a request may be retried, at which app servers, and whether the request may be
 * rejected. Inputs are the retry safety of the request class, the time and the server of the first
 * attempt that may have been executed, and the number of attempts. Times are in ticks.
 *
 * <p>The rules guard against executing a request twice. An idempotent request may always be sent
 * again. A request with an idempotency key may be sent again only to servers that share stored keys
 * with the server of the first attempt that may have been executed, and only until the key of that
 * attempt expires. Any other request may be sent again only if no attempt can have been executed.
 * A client that receives REJECTED may send its request again to any node, so a rejection requires
 * that a repetition at any server is safe.
 */
final class RetryPolicy {
  /** Time, 20 ms, within which the last byte of an attempt normally reaches the server. */
  private static final long SENDING_TICKS = 20 * Ticks.PER_MILLISECOND;

  private final int maxAttempts;

  RetryPolicy(GatewaySettings.Limits limits) {
    maxAttempts = limits.maxAttempts();
  }

  /**
   * Returns whether the request may be retried after an attempt has ended. Requires that no attempt
   * is in flight.
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
   * Returns whether the key of the first attempt that may have been executed will still be stored
   * when an attempt that starts now reaches a server.
   */
  private static boolean isKeyRemembered(RequestState request, long now) {
    GatewaySettings.RequestClass requestClass = request.stats.requestClass;
    return requestClass.retrySafety() == RetrySafety.IDEMPOTENT_BY_KEY
        && now + SENDING_TICKS < request.possiblyExecutedAtTicks + requestClass.keyTtlTicks();
  }

  /**
   * Returns whether {@code server} shares stored idempotency keys with the server that may have
   * executed the request. Returns true if the request class has no keys or if no attempt can have
   * been executed.
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
   * Returns whether the request may be rejected: a repetition by the client, which can reach any
   * node and any server, cannot execute the request a second time.
   */
  static boolean isRejectSafe(RequestState request) {
    GatewaySettings.RequestClass requestClass = request.stats.requestClass;
    return (!request.possiblyExecuted() && request.attempt == null)
        || requestClass.retrySafety() == RetrySafety.IDEMPOTENT
        || (requestClass.retrySafety() == RetrySafety.IDEMPOTENT_BY_KEY
            && requestClass.keyScope() == KeyScope.ALL);
  }
}
