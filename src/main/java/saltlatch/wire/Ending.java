package saltlatch.wire;

import saltlatch.api.Event.Outcome;

/** Every way in which a dispatch, a probe or a count call can end, and what each tells the module. */
public enum Ending {
  ANSWERED(Outcome.PASSED),
  ERROR_ANSWER(Outcome.ERROR),
  SPOILT_ANSWER(Outcome.BROKEN), // what can't be read: it may have run, and the connection is of no further use
  BUSY_ANSWER(Outcome.FULL), // -BUSY, busy: it never ran
  REFUSED_CALL(Outcome.NOT_SENT), // the counter's error: no such call, nothing added
  CONNECT_FAILED(Outcome.NOT_CONNECTED), // refused, or did not come up in time
  BROKE_UNWRITTEN(Outcome.NOT_CONNECTED), // broke before the last byte was written
  BROKE_WRITTEN(Outcome.BROKEN), // broke or ended after that
  TIMED_OUT_UNWRITTEN(Outcome.NOT_CONNECTED),
  TIMED_OUT(Outcome.LATE),
  OWN_CANCEL(Outcome.CANCELLED),
  WITHDRAWN(Outcome.WITHDRAWN), // its connection came up, but what had allowed it was past: no byte was written
  NO_DESCRIPTOR(Outcome.NOT_SENT); // every connection that this node may hold is in use

  private final Outcome outcome;

  Ending(Outcome outcome) {
    this.outcome = outcome;
  }

  public Outcome outcome() {
    return outcome;
  }
}
