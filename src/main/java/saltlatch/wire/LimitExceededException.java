package saltlatch.wire;

/**
 * A message is larger than this node can hold. The caller goes on with what it has and asks again
 * no sooner than for a fault that lasts: until the partner has something smaller, the same comes.
 */
public final class LimitExceededException extends ProtocolException {
  private static final long serialVersionUID = 1;

  /** Says which limit, given with its unit, was exceeded and where. */
  public LimitExceededException(String where, String what, String limit) {
    super(where, what, limit, null);
  }

  /** As above, behind a library's failure, such as the heap's end. */
  public LimitExceededException(String where, String what, String limit, Throwable cause) {
    super(where, what, limit, cause);
  }
}
