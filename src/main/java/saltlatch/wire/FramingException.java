package saltlatch.wire;

/**
 * Where the next message begins can't be known any more. The caller reads nothing further from this
 * connection and closes it; a new connection may do.
 */
public final class FramingException extends ProtocolException {
  private static final long serialVersionUID = 1;

  /** Says where the stream can't be read, and why. */
  public FramingException(String where, String what) {
    super(where, what, null, null);
  }

  /** Says which limit, given with its unit, a partner's message exceeds, and where. */
  public FramingException(String where, String what, String limit) {
    super(where, what, limit, null);
  }
}
