package saltlatch.policy;

import saltlatch.api.GatewayEvent;

/** Lives for one req. */
final class RequestState {
  GatewayEvent.RequestArrived arrival;
  RequestClassStats stats;
  CustomerQuota customer;
  // a client's further try, by the wait left to it too late for its response target
  boolean lateRetry;
  long deadline; // wanted: the final answer by then
  QuotaWindow window; // charged there; null where the plan has no quota
  double reservedUnits;
  double chargedUnits; // of it, what its count call added
  boolean awaitingCounter; // its count call is out
  boolean admitted, streaming, finished, changed, deadlineTimerSet;
  long possiblyExecutedAt = -1; // sending of the first dispatch that may have run
  ServerState possiblyExecutedOn;
  Attempt attempt; // never two at once
  int attemptCount;
  ServerState lastServer;
  ServerState nextServer; // wanted: a dispatch there
  RequestEnd wantedEnd = RequestEnd.NONE; // wanted: its final answer
  long retryAfterTicks;
}
