package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.api.GatewaySettings;

/**
 * When the client of a rejected request should come back (Retry-After), in ticks. Inputs: the
 * quota's window, the counter's backoff, the longest advice that clients heed.
 *
 * <p>Where the quota is known to be spent: at the turn of the window and a random part of a window
 * later. Where the counter is unhealthy and the quota isn't known to be spent: at this node's next
 * counter call or a random backoff later, so that the retry can still be in time. Where the app
 * servers are under pressure: as late as clients heed. Guards against clients that come back all at
 * once. Harms a client whose quota has room again sooner.
 */
final class RetryAfterAdvice {
  /** Part of a window over which clients are spread. */
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

  /** For a request that its quota has no room for. */
  long withoutQuota(RequestState request, long now) {
    // Both are drawn in any case: which of them is used must not shift later draws.
    double spreadTicks = SPREAD_WINDOW_FRACTION
        * QuotaManager.windowLengthTicks(request.customer.plan) * random.nextDouble();
    long nextCallTicks = counterHealth.ticksUntilNextCall(now)
        + (long) (counterHealth.backoffTicks() * random.nextDouble());
    boolean knownSpent = request.lateRetry || request.awaitingCounter
        || gossip.isUsageFresh(now, request.customer.nodeCount);
    return knownSpent ? request.window.endsAtTicks - now + (long) spreadTicks : nextCallTicks;
  }

  /**
   * For a request that can't be served now: concurrency cap, ceiling, overload, no app server, or
   * no further attempt is allowed.
   */
  long withoutCapacity() {
    return limits.maxRetryAfterTicks();
  }

  /** What is sent of an advice: 0 where the deployment sends none, at most what clients heed. */
  long limited(long retryAfterTicks) {
    return limits.maySendRetryAfter()
        ? Math.min(limits.maxRetryAfterTicks(), Math.max(0, retryAfterTicks)) : 0;
  }
}
