package saltlatch.lab.clock;

/**
 * The laboratory's one clock: ms since the run began, from the monotonic clock; epoch ms only for
 * discovery's news.
 */
public final class LabClock {
  // before a run begins no fault's time has come
  private static final long AHEAD_NS = 3_600_000_000_000L;

  private volatile long startNanos;
  private volatile long startEpochMs;

  /** A clock whose run begins now. */
  public LabClock() {
    this(0);
  }

  private LabClock(long aheadNs) {
    startNanos = System.nanoTime() + aheadNs;
    startEpochMs = System.currentTimeMillis() + aheadNs / 1_000_000;
  }

  /**
   * A clock that stands an hour before the run's beginning until {@link #begin()}: nodes may take
   * their time to start.
   */
  public static LabClock waiting() {
    return new LabClock(AHEAD_NS);
  }

  /** The run begins now: the load's first moment, from which the faults' times count. */
  public void begin() {
    startNanos = System.nanoTime();
    startEpochMs = System.currentTimeMillis();
  }

  /** Milliseconds since the start, never backwards but for the beginning of a run. */
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

  /**
   * The same moment on the machine's monotonic clock, by which the processes' histories are
   * compared.
   */
  public long monoNs(double sinceStartMs) {
    return startNanos + (long) (sinceStartMs * 1e6);
  }
}
