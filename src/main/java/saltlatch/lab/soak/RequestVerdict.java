package saltlatch.lab.soak;

/** What became of a request, judged by what its client received. */
public enum RequestVerdict {
  /** The connection ended before the request's last byte was written: no node has taken it. */
  NOT_SENT,
  /** The whole answer came, whatever it says. */
  ANSWERED,
  /** The connection was reset: the node has not read the request, and the client sends it again. */
  RESET,
  /**
   * The connection ended with no whole answer and no reset within {@link #RESET_WAIT_MS}, or no
   * answer came in time. The node has broken its promise to answer what it has taken.
   */
  LOST;

  /** How long after a connection's end its reset may come. */
  public static final long RESET_WAIT_MS = 50;

  /** Returns the verdict on a request whose last byte was written and whose connection ended. */
  static RequestVerdict atEnd(boolean wholeAnswer, boolean reset) {
    if (wholeAnswer) return ANSWERED;
    return reset ? RESET : LOST;
  }
}
