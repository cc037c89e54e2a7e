package saltlatch.wire.transport;

import saltlatch.api.GatewayEvent.AttemptOutcome;

/**
 * Every way in which a dispatch, a probe or a count call can end, and what each tells the module.
 */
public enum CallResult {
  ANSWERED(AttemptOutcome.SUCCEEDED),
  ERROR_ANSWER(AttemptOutcome.SERVER_ERROR),
  // what can't be read: it may have run, and the connection is of no further use
  SPOILT_ANSWER(AttemptOutcome.CONNECTION_LOST),
  BUSY_ANSWER(AttemptOutcome.SERVER_BUSY), // -BUSY, busy: it never ran
  REFUSED_CALL(AttemptOutcome.NOT_SENT), // the counter's error: no such call, nothing added
  CONNECT_FAILED(AttemptOutcome.CONNECT_FAILED), // refused, or did not come up in time
  BROKE_UNWRITTEN(AttemptOutcome.CONNECT_FAILED), // broke before the last byte was written
  BROKE_WRITTEN(AttemptOutcome.CONNECTION_LOST), // broke or ended after that
  TIMED_OUT_UNWRITTEN(AttemptOutcome.CONNECT_FAILED),
  TIMED_OUT(AttemptOutcome.TIMED_OUT),
  OWN_CANCEL(AttemptOutcome.CANCELLED),
  // its connection came up, but what had allowed it was past: no byte was written
  WITHDRAWN(AttemptOutcome.WITHDRAWN),
  NO_DESCRIPTOR(AttemptOutcome.NOT_SENT); // every connection that this node may hold is in use

  private final AttemptOutcome outcome;

  CallResult(AttemptOutcome outcome) {
    this.outcome = outcome;
  }

  public AttemptOutcome outcome() {
    return outcome;
  }
}
