package saltlatch.policy;

import saltlatch.api.GatewayEvent;

/**
 * One request, from its arrival until its final answer is out and nothing of it is in flight. Kept
 * by {@link RequestTable}. The rules write what they want of it ({@code nextServer},
 * {@code pendingOutcome}); {@link ActionEmitter} alone turns that into actions. Times are in ticks.
 */
final class RequestState {
  final GatewayEvent.RequestArrived arrival;
  final RequestClassStats stats;
  final CustomerQuota customer;
  /** A client's retry that comes too late for its latency objective. */
  boolean lateRetry;
  /** The final answer is out by then. */
  long deadlineTicks;

  // Admission; written by AdmissionControl and QuotaCharges.
  /** The window that is charged; null where the plan has no quota. */
  QuotaWindow window;
  double reservedUnits;
  /** The part of the reservation that the request's counter call added. */
  double chargedUnits;
  boolean awaitingCounter;
  boolean admitted;

  // Attempts; written by RequestLifecycle and AttemptTracker.
  /** In flight; there are never two at once. */
  Attempt attempt;
  int attemptCount;
  ServerState lastServer;
  /** Start of the first attempt that may have been executed; below 0: there is none. */
  long possiblyExecutedAtTicks = -1;
  ServerState possiblyExecutedOn;
  boolean streaming;

  // What is wanted, and what has been emitted.
  /** Wanted: an attempt there. */
  ServerState nextServer;
  RequestOutcome pendingOutcome = RequestOutcome.NONE;
  long retryAfterTicks;
  /** Its final answer is out, or its client is gone. */
  boolean finished;
  boolean deadlineTimerSet;
  /** Among the changed requests of {@link RequestTable}. */
  boolean changed;

  RequestState(GatewayEvent.RequestArrived arrival, RequestClassStats stats,
      CustomerQuota customer) {
    this.arrival = arrival;
    this.stats = stats;
    this.customer = customer;
  }

  /** Whether an attempt may have been executed. */
  boolean possiblyExecuted() {
    return possiblyExecutedAtTicks >= 0;
  }
}
