package saltlatch.wire;

/**
 * One message is invalid. The caller drops it, or replies with an error, and continues to read: the
 * messages after it are not affected.
 */
public final class MalformedMessageException extends ProtocolException {
  private static final long serialVersionUID = 1;

  /** Creates an error with the part of the message that is invalid, and the reason. */
  public MalformedMessageException(String location, String problem) {
    super(location, problem, null, null);
  }

  /** Creates an error for a part of the message that exceeds a limit, given with its unit. */
  public MalformedMessageException(String location, String problem, String limit) {
    super(location, problem, limit, null);
  }

  /** Creates an error for a part of the message that a library failed to decode. */
  public MalformedMessageException(String location, String problem, Throwable cause) {
    super(location, problem, null, cause);
  }
}
