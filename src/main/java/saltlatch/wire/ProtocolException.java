package saltlatch.wire;

/**
 * A partner sent a message that violates the protocol. The subclass determines what the caller may
 * do next, so that callers need not parse the message text. The exception is checked because any
 * partner can cause it at any time. It has no stack trace: filling in stack traces would use up the
 * node's CPU time when a partner floods it with faulty messages.
 */
public abstract class ProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  private final String location;
  private final String problem;
  private final String limit;

  /**
   * Creates an error whose text is made of these parts.
   *
   * @param location the message, and the part of it, at which decoding stopped
   * @param problem  the fault found at the location, in a few words
   * @param limit    the limit that was exceeded, with its unit; null if no limit was exceeded
   * @param cause    the library's failure that caused this error; null if there is none
   */
  protected ProtocolException(String location, String problem, String limit, Throwable cause) {
    super(location + ": " + problem + (limit == null ? "" : " (limit " + limit + ")"), cause, false,
        false);
    this.location = location;
    this.problem = problem;
    this.limit = limit;
  }

  /** Returns the message, and the part of it, at which decoding stopped. */
  public final String location() {
    return location;
  }

  /** Returns the fault in a few words, without its location. */
  public final String problem() {
    return problem;
  }

  /** Returns the limit that was exceeded, with its unit; null if no limit was exceeded. */
  public final String limit() {
    return limit;
  }
}
