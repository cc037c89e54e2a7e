package saltlatch.policy;

import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewaySettings;

/**
 * Detects clients' retries that arrive too late to meet their latency objective. Inputs: the retry
 * mark if clients send one, otherwise the request's timeout compared with the usual one of its
 * request class; and the expected duration of an attempt. Times are in ticks.
 *
 * <p>Guards against late retries that take quota and capacity away from first attempts: while the
 * customer's window is exhausted or the counter is unhealthy, {@link AdmissionControl} rejects
 * them, and {@link LoadShedding} rejects them before other requests. Does no harm to requests that
 * can meet their objective, unless a client sends a wrong timeout.
 */
final class ClientRetryDetection {
  /** Time that must be left of the latency objective, in expected durations of an attempt. */
  private static final double NEEDED_ATTEMPT_TIMES = 2;

  private final boolean clientsMarkRetries;
  private final long clockResolutionTicks;
  private final long longestClientTimeoutTicks;

  ClientRetryDetection(GatewaySettings settings, ObjectiveBounds bounds) {
    clientsMarkRetries = settings.limits().clientsMarkRetries();
    clockResolutionTicks = settings.clockResolutionTicks();
    longestClientTimeoutTicks = bounds.longestClientTimeoutTicks();
  }

  /**
   * Returns whether the request is a late retry. Must be called exactly once per request, at its
   * arrival, because it also updates the usual timeout of the request class.
   */
  boolean isLateRetry(GatewayEvent.RequestArrived arrival, RequestClassStats stats) {
    boolean hasUsualTimeout = stats.recordTimeout(arrival.clientTimeoutTicks(),
        clockResolutionTicks);
    // The usual timeout does not show how long the client of a marked retry has waited, so the
    // longest timeout is assumed.
    long waitedTicks = hasUsualTimeout ? longestClientTimeoutTicks
        : stats.requestClass.clientTimeoutTicks() - arrival.clientTimeoutTicks()
            + arrival.ageTicks();
    boolean retry = clientsMarkRetries ? arrival.retry() : !hasUsualTimeout;
    return retry && waitedTicks
        + NEEDED_ATTEMPT_TIMES * stats.expectedTicks(arrival.estimatedUnits()) >= stats.requestClass
            .latencyObjectiveTicks();
  }
}
