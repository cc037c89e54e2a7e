package saltlatch.wire;

/**
 * A partner sent something that this node can't take as the protocol's page gives it. Each subclass
 * stands for what the caller may do next, so that it need not look into the text. Checked, since
 * any partner can cause it at any time; without a stack trace, since one that floods this node with
 * faulty messages would have it spend its time on filling them in.
 */
public abstract class ProtocolException extends Exception {
  private static final long serialVersionUID = 1;

  private final String where;
  private final String what;
  private final String limit;

  /**
   * Says what is wrong.
   *
   * @param where the partner's message, and the part of it, at which reading stopped
   * @param what  what is wrong there, in a few words
   * @param limit the limit that was exceeded, with its unit; null where none was
   * @param cause the library's failure behind it; null where there is none
   */
  protected ProtocolException(String where, String what, String limit, Throwable cause) {
    super(where + ": " + what + (limit == null ? "" : " (limit " + limit + ")"), cause, false,
        false);
    this.where = where;
    this.what = what;
    this.limit = limit;
  }

  /** The partner's message, and the part of it, at which reading stopped. */
  public final String location() {
    return where;
  }

  /** What is wrong there, in a few words and without its place. */
  public final String problem() {
    return what;
  }

  /** The limit that was exceeded, with its unit; null where none was. */
  public final String limit() {
    return limit;
  }
}
