package saltlatch.state;

/**
 * Detects and reports a full heap when a library has wrapped the {@link OutOfMemoryError} in
 * another error, whose message would mislead whoever is on call about the cause. Callable from any
 * thread.
 */
public final class HeapExhaustion {
  private static final int BYTES_PER_MB = 1 << 20;

  private HeapExhaustion() {}

  /** Returns whether the failure or one of its causes is an {@link OutOfMemoryError}. */
  public static boolean isCauseOf(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof OutOfMemoryError) return true;
    }
    return false;
  }

  /**
   * Returns the failure's text, or a message with the heap's size in MB if a full heap caused the
   * failure.
   */
  public static String explain(Throwable failure) {
    if (!isCauseOf(failure)) return String.valueOf(failure);
    return "the heap of " + Runtime.getRuntime().maxMemory() / BYTES_PER_MB
        + " MB is full (see -Xmx)";
  }
}
