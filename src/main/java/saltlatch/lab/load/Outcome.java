package saltlatch.lab.load;

/**
 * The result of one attempt as seen by the client. {@link LoadRunner} derives it from the answer.
 */
public enum Outcome {
  /** The value arrived: a bulk string, or an array whose first element is one. */
  PASSED,
  /** {@code -BUSY} or {@code -BUSY MS}. */
  DENIED,
  /** Any other answer. */
  ABORTED,
  /** No answer within the client timeout; the client closed its connection. */
  TIMED_OUT,
  /** The client gave up early, as scheduled, and closed its connection. */
  LEFT,
  /**
   * The connection ended before the answer, could not be opened, or no node was healthy.
   */
  BROKEN
}
