package saltlatch.policy;

import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewaySettings;

/**
 * Whether a request is a client's retry that comes too late for its latency objective. Inputs: the
 * retry mark where clients send one, else the timeout that is left against the usual one of the
 * request class; the time an attempt takes. Times are in ticks.
 *
 * <p>Such a retry can't be answered in time any more. Guards against retries that take quota and
 * capacity from first attempts: while the customer's window is spent or the counter is unhealthy
 * {@link AdmissionControl} rejects them, and {@link LoadShedding} rejects them sooner. Harms nobody
 * in time, unless a client sends a wrong timeout.
 */
final class ClientRetryDetection {
  /** Mean attempt times that a request needs left of its latency objective. */
  private static final double NEEDED_ATTEMPT_TIMES = 2;

  private final boolean clientsMarkRetries;
  private final long clockResolutionTicks;
  private final long longestClientTimeoutTicks;

  ClientRetryDetection(GatewaySettings settings, ObjectiveBounds bounds) {
    clientsMarkRetries = settings.limits().clientsMarkRetries();
    clockResolutionTicks = settings.clockResolutionTicks();
    longestClientTimeoutTicks = bounds.longestClientTimeoutTicks();
  }

  /** Called once a request, at its arrival: it takes in the request's timeout too. */
  boolean isLateRetry(GatewayEvent.RequestArrived arrival, RequestClassStats stats) {
    boolean usual = stats.recordTimeout(arrival.clientTimeoutTicks(), clockResolutionTicks);
    // A marked retry with the usual timeout doesn't say how long its client has waited.
    long waitedTicks = usual ? longestClientTimeoutTicks : stats.requestClass.clientTimeoutTicks()
        - arrival.clientTimeoutTicks() + arrival.ageTicks();
    boolean retry = clientsMarkRetries ? arrival.retry() : !usual;
    return retry && waitedTicks
        + NEEDED_ATTEMPT_TIMES * stats.expectedTicks(arrival.estimatedUnits()) >= stats.requestClass
            .latencyObjectiveTicks();
  }
}
