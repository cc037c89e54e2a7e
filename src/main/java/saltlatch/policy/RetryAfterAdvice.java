package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.api.GatewaySettings;

/**
 * Computes the delay after which the client of a rejected request should retry (Retry-After), in
 * ticks. Inputs are the end of the quota's window, the counter's backoff and the longest delay that
 * clients respect.
 *
 * <p>If the quota is known to be exhausted, the retry is due at a random time in the first half of
 * the next window. If the counter is unhealthy and the quota is not known to be exhausted, the
 * retry is due at a random time up to one backoff after this node's next counter call, so that it
 * can still meet its latency objective. If the request cannot be served for other reasons, such as
 * overloaded app servers, the delay is the longest that clients respect. Guards against clients
 * that all retry at the same time. The rule does harm to a client whose quota has capacity again
 * earlier.
 */
final class RetryAfterAdvice {
  /** Fraction of a window over which retries are spread. */
  private static final double SPREAD_WINDOW_FRACTION = 0.5;

  private final GatewaySettings.Limits limits;
  private final CounterHealth counterHealth;
  private final QuotaGossip gossip;
  private final SplittableRandom random;

  RetryAfterAdvice(GatewaySettings.Limits limits, CounterHealth counterHealth, QuotaGossip gossip,
      SplittableRandom random) {
    this.limits = limits;
    this.counterHealth = counterHealth;
    this.gossip = gossip;
    this.random = random;
  }

  /** Returns the delay for a request for which its quota has no capacity. */
  long withoutQuota(RequestState request, long now) {
    // Always draws both numbers, so that later draws do not depend on which of them is used.
    double spreadTicks = SPREAD_WINDOW_FRACTION
        * QuotaManager.windowLengthTicks(request.customer.plan) * random.nextDouble();
    long nextCallTicks = counterHealth.ticksUntilNextCall(now)
        + (long) (counterHealth.backoffTicks() * random.nextDouble());
    boolean knownExhausted = request.lateRetry || request.awaitingCounter
        || gossip.isUsageFresh(now, request.customer.nodeCount);
    return knownExhausted ? request.window.endsAtTicks - now + (long) spreadTicks : nextCallTicks;
  }

  /**
   * Returns the delay for a request that cannot be served now because of the concurrency cap, the
   * hard ceiling or overload, or because no app server is available or no further attempt is
   * allowed.
   */
  long withoutCapacity() {
    return limits.maxRetryAfterTicks();
  }

  /**
   * Returns the delay to send: at most the longest that clients respect, or 0 if the deployment
   * sends no Retry-After.
   */
  long limited(long retryAfterTicks) {
    return limits.maySendRetryAfter()
        ? Math.min(limits.maxRetryAfterTicks(), Math.max(0, retryAfterTicks)) : 0;
  }
}
