package saltlatch.state;

/**
 * Names a full heap as such where a library has wrapped the {@link OutOfMemoryError} into an error
 * of its own, which would send on-call after the wrong cause. Callable from any thread.
 */
public final class HeapExhaustion {
  private static final int BYTES_PER_MB = 1 << 20;

  private HeapExhaustion() {}

  /** Whether a full heap is the failure itself or among its causes. */
  public static boolean isCauseOf(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof OutOfMemoryError) return true;
    }
    return false;
  }

  /** The failure's text or, where a full heap is its cause, a sentence that says so. */
  public static String explain(Throwable failure) {
    if (!isCauseOf(failure)) return String.valueOf(failure);
    return "the heap of " + Runtime.getRuntime().maxMemory() / BYTES_PER_MB
        + " MB is full (see -Xmx)";
  }
}
