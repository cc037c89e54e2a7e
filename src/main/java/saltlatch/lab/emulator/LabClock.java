package saltlatch.lab.emulator;

/** The laboratory's one clock: ms since the run began, from the monotonic clock; epoch ms only for discovery's news. */
public final class LabClock {
  private final long startNanos = System.nanoTime();
  private final long startEpochMs = System.currentTimeMillis();

  /** Milliseconds since the start, never backwards. */
  public double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Microseconds since the start. */
  public long nowUs() {
    return (System.nanoTime() - startNanos) / 1000;
  }

  /** Unix time in ms of a moment given in ms since the start. */
  public long epochMs(double sinceStartMs) {
    return startEpochMs + (long) sinceStartMs;
  }
}
