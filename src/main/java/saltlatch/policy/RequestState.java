package saltlatch.policy;

import saltlatch.api.GatewayEvent;

/**
 * State of one request, from its arrival until its final answer has been sent and neither an
 * attempt nor a counter call is in flight. Held by {@link RequestTable}. The rules set the pending
 * actions ({@code nextServer}, {@code pendingOutcome}); only {@link ActionEmitter} emits them.
 * Times are in ticks.
 */
final class RequestState {
  final GatewayEvent.RequestArrived arrival;
  final RequestClassStats stats;
  final CustomerQuota customer;
  /** A client's retry that can no longer be answered within its latency objective. */
  boolean lateRetry;
  /** Time by which the final answer must be sent. */
  long deadlineTicks;

  // Admission; written by AdmissionControl and QuotaCharges.
  /** The window that is charged; null if the plan has no quota. */
  QuotaWindow window;
  double reservedUnits;
  /** Units of the reservation that the request's counter call added. */
  double chargedUnits;
  boolean awaitingCounter;
  boolean admitted;

  // Attempts; written by RequestLifecycle and AttemptTracker.
  /** The attempt in flight, at most one at a time; null if there is none. */
  Attempt attempt;
  int attemptCount;
  ServerState lastServer;
  /** Start of the first attempt that may have been executed; negative if there is none. */
  long possiblyExecutedAtTicks = -1;
  ServerState possiblyExecutedOn;
  boolean streaming;

  // Pending actions and the state of emitted actions.
  /** Server of the pending attempt; null if none is pending. */
  ServerState nextServer;
  RequestOutcome pendingOutcome = RequestOutcome.NONE;
  long retryAfterTicks;
  /** The final answer has been sent or the client has disconnected. */
  boolean finished;
  boolean deadlineTimerSet;
  /** Whether the request is among the changed ones of {@link RequestTable}. */
  boolean changed;

  RequestState(GatewayEvent.RequestArrived arrival, RequestClassStats stats,
      CustomerQuota customer) {
    this.arrival = arrival;
    this.stats = stats;
    this.customer = customer;
  }

  /** Returns whether an attempt may have been executed. */
  boolean possiblyExecuted() {
    return possiblyExecutedAtTicks >= 0;
  }
}
