package saltlatch.lab.load;

/**
 * How a try ended as the client saw it; one value each, mapped from what came back in
 * {@link LoadRunner}.
 */
public enum Outcome {
  /** A bulk string, or an array that begins with one: the value. */
  PASSED,
  /** {@code -BUSY} or {@code -BUSY MS}. */
  DENIED,
  /** Any other answer. */
  ABORTED,
  /** No answer within the client timeout; the client closed its connection. */
  TIMED_OUT,
  /** The client gave up early on purpose and closed its connection. */
  LEFT,
  /** The connection ended, or never came up, before the answer. */
  BROKEN
}
