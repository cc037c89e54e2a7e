package saltlatch.wire.transport;

import saltlatch.api.GatewayEvent.AttemptOutcome;

/**
 * Every way in which a call to a partner ends: an attempt or a health check at an app server, or a
 * call to the counter. What each means for the decisions stands here and nowhere else. Only results
 * that prove it may map to an outcome that says that nothing was executed: anything else would have
 * a request executed twice, or an amount added twice.
 */
public enum CallResult {
  ANSWERED("ANSWERED", AttemptOutcome.SUCCEEDED),
  /** An error reply: it may have been executed. */
  ERROR_REPLY("ERROR_ANSWER", AttemptOutcome.SERVER_ERROR),
  /** What can't be read: it may have been executed, and the connection is of no further use. */
  MALFORMED_REPLY("SPOILT_ANSWER", AttemptOutcome.CONNECTION_LOST),
  /** The partner sheds load, and says that it has executed nothing. */
  BUSY_REPLY("BUSY_ANSWER", AttemptOutcome.SERVER_BUSY),
  /** The counter knows no such call: nothing was added. */
  CALL_REFUSED("REFUSED_CALL", AttemptOutcome.NOT_SENT),
  /** The connection was refused, or did not come up in time. */
  CONNECT_FAILED("CONNECT_FAILED", AttemptOutcome.CONNECT_FAILED),
  /** The connection broke before the last byte was written. */
  CONNECTION_LOST_UNWRITTEN("BROKE_UNWRITTEN", AttemptOutcome.CONNECT_FAILED),
  /** The connection broke or ended behind the last byte. */
  CONNECTION_LOST("BROKE_WRITTEN", AttemptOutcome.CONNECTION_LOST),
  /** The time was over before the last byte was written. */
  TIMED_OUT_UNWRITTEN("TIMED_OUT_UNWRITTEN", AttemptOutcome.CONNECT_FAILED),
  /** The time was over before the reply had come. */
  TIMED_OUT("TIMED_OUT", AttemptOutcome.TIMED_OUT),
  /** This node gave it up. */
  CANCELLED("OWN_CANCEL", AttemptOutcome.CANCELLED),
  /** The connection came up when what had allowed the call was past: no byte was written. */
  WITHDRAWN("WITHDRAWN", AttemptOutcome.WITHDRAWN),
  /** Every connection that this node may hold is in use. */
  NO_CONNECTION_FREE("NO_DESCRIPTOR", AttemptOutcome.NOT_SENT);

  private final String historyName;
  private final AttemptOutcome outcome;

  CallResult(String historyName, AttemptOutcome outcome) {
    this.historyName = historyName;
    this.outcome = outcome;
  }

  /** Its name in history files, which stays readable by later versions. */
  public String historyName() {
    return historyName;
  }

  /** What it means for the decisions. */
  public AttemptOutcome outcome() {
    return outcome;
  }
}
