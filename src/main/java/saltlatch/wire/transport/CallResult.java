package saltlatch.wire.transport;

import saltlatch.api.GatewayEvent.AttemptOutcome;

/**
 * How a call to a partner ended: an attempt or a health check at an app server, or a call to the
 * counter. This enum is the only place that maps results to the outcomes that the policy decides
 * on. A result may map to an outcome that means "not executed" only if it proves that nothing was
 * executed; otherwise the retry would execute a request twice, or add an amount twice.
 */
public enum CallResult {
  ANSWERED("ANSWERED", AttemptOutcome.SUCCEEDED),
  /** An error reply; the request may have been executed. */
  ERROR_REPLY("ERROR_ANSWER", AttemptOutcome.SERVER_ERROR),
  /** An unreadable reply; the request may have been executed and the connection is unusable. */
  MALFORMED_REPLY("SPOILT_ANSWER", AttemptOutcome.CONNECTION_LOST),
  /** A complete reply that this node had no memory for; the request may have been executed. */
  REPLY_OVER_MEMORY_LIMIT("ANSWER_OVER_LIMIT", AttemptOutcome.SERVER_ERROR),
  /** The partner sheds load and reports that it has executed nothing. */
  BUSY_REPLY("BUSY_ANSWER", AttemptOutcome.SERVER_BUSY),
  /** The counter does not support the call; nothing was added. */
  CALL_REFUSED("REFUSED_CALL", AttemptOutcome.NOT_SENT),
  /** The connection was refused, or was not established in time. */
  CONNECT_FAILED("CONNECT_FAILED", AttemptOutcome.CONNECT_FAILED),
  /** The connection broke before the last byte was written. */
  CONNECTION_LOST_UNWRITTEN("BROKE_UNWRITTEN", AttemptOutcome.CONNECT_FAILED),
  /** The connection broke or was closed after the last byte was written. */
  CONNECTION_LOST("BROKE_WRITTEN", AttemptOutcome.CONNECTION_LOST),
  /** The timeout expired before the last byte was written. */
  TIMED_OUT_UNWRITTEN("TIMED_OUT_UNWRITTEN", AttemptOutcome.CONNECT_FAILED),
  /** The timeout expired before the reply was complete. */
  TIMED_OUT("TIMED_OUT", AttemptOutcome.TIMED_OUT),
  /** This node cancelled the call. */
  CANCELLED("OWN_CANCEL", AttemptOutcome.CANCELLED),
  /** The call was no longer allowed when the connection was established; nothing was written. */
  WITHDRAWN("WITHDRAWN", AttemptOutcome.WITHDRAWN),
  /** Every connection that this node may hold is in use. */
  NO_CONNECTION_FREE("NO_DESCRIPTOR", AttemptOutcome.NOT_SENT);

  private final String historyName;
  private final AttemptOutcome outcome;

  CallResult(String historyName, AttemptOutcome outcome) {
    this.historyName = historyName;
    this.outcome = outcome;
  }

  /** Returns the name in history files, which later versions must still be able to read. */
  public String historyName() {
    return historyName;
  }

  /** Returns the outcome that the policy bases its decisions on. */
  public AttemptOutcome outcome() {
    return outcome;
  }
}
