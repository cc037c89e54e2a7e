package saltlatch.wire;

/**
 * A message is larger than this node can hold. The caller keeps its present data and retries no
 * sooner than after a persistent fault: the partner sends the same message until its data shrinks.
 */
public final class LimitExceededException extends ProtocolException {
  private static final long serialVersionUID = 1;

  /** Creates an error with the limit that was exceeded, given with its unit, and the place. */
  public LimitExceededException(String location, String problem, String limit) {
    super(location, problem, limit, null);
  }

  /** Creates an error caused by a library's failure, such as an exhausted heap. */
  public LimitExceededException(String location, String problem, String limit, Throwable cause) {
    super(location, problem, limit, cause);
  }
}
