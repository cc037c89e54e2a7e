package saltlatch.state;

/** Says plainly that the heap is full, where a library wraps that into an error of its own. */
public final class HeapExhaustion {
  private static final int MB = 1 << 20;

  private HeapExhaustion() {}

  /** Whether the heap's end is behind a failure. */
  public static boolean isCauseOf(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof OutOfMemoryError) return true;
    }
    return false;
  }

  /** The failure's text, or that the heap of so many MB is full where this is its cause. */
  public static String explain(Throwable failure) {
    if (!isCauseOf(failure)) return String.valueOf(failure);
    return "the heap of " + Runtime.getRuntime().maxMemory() / MB + " MB is full (see -Xmx)";
  }
}
