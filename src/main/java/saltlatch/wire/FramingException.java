package saltlatch.wire;

/**
 * The start of the next message in the stream can no longer be found. The caller stops reading from
 * this connection and closes it; a new connection may succeed.
 */
public final class FramingException extends ProtocolException {
  private static final long serialVersionUID = 1;

  /** Creates an error with the place at which the stream is unreadable, and the reason. */
  public FramingException(String location, String problem) {
    super(location, problem, null, null);
  }

  /** Creates an error for a message that exceeds a limit, which is given with its unit. */
  public FramingException(String location, String problem, String limit) {
    super(location, problem, limit, null);
  }
}
