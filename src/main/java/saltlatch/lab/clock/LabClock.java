package saltlatch.lab.clock;

/**
 * The clock of a laboratory run. It gives the time since the run began, from the monotonic clock.
 * Unix time is only used for the start times that discovery publishes.
 */
public final class LabClock {
  // A waiting clock starts at minus one hour, so that no fault is active before the run begins.
  private static final long WAITING_OFFSET_NS = 3_600_000_000_000L;

  private volatile long startNanos;
  private volatile long startEpochMs;

  /** Creates a clock whose run begins now. */
  public LabClock() {
    this(0);
  }

  private LabClock(long untilStartNs) {
    startNanos = System.nanoTime() + untilStartNs;
    startEpochMs = System.currentTimeMillis() + untilStartNs / 1_000_000;
  }

  /**
   * Returns a clock whose run begins in one hour or, before that, when {@link #begin()} is called.
   * The nodes have this time to start.
   */
  public static LabClock waiting() {
    return new LabClock(WAITING_OFFSET_NS);
  }

  /** Begins the run: the load starts now, and the times of faults are counted from now on. */
  public void begin() {
    startNanos = System.nanoTime();
    startEpochMs = System.currentTimeMillis();
  }

  /**
   * Returns the milliseconds since the start. The value never decreases, except that
   * {@link #begin()} sets it to 0.
   */
  public double nowMs() {
    return (System.nanoTime() - startNanos) / 1e6;
  }

  /** Returns the microseconds since the start. */
  public long nowUs() {
    return (System.nanoTime() - startNanos) / 1000;
  }

  /** Returns the Unix time in ms of a time given in ms since the start. */
  public long epochMs(double sinceStartMs) {
    return startEpochMs + (long) sinceStartMs;
  }

  /**
   * Returns a time given in ms since the start as ns of the machine's monotonic clock, which the
   * histories of all processes use.
   */
  public long monoNs(double sinceStartMs) {
    return startNanos + (long) (sinceStartMs * 1e6);
  }
}
