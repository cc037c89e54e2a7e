package saltlatch.wire;

/**
 * One message can't be taken. The caller drops it, or answers with an error, and reads on: the
 * messages behind it are not affected.
 */
public final class MalformedMessageException extends ProtocolException {
  private static final long serialVersionUID = 1;

  /** Says which part of the message can't be taken, and why. */
  public MalformedMessageException(String where, String what) {
    super(where, what, null, null);
  }

  /** Says which limit, given with its unit, a part of the message exceeds. */
  public MalformedMessageException(String where, String what, String limit) {
    super(where, what, limit, null);
  }

  /** Says which part of the message a library could not decode. */
  public MalformedMessageException(String where, String what, Throwable cause) {
    super(where, what, null, cause);
  }
}
