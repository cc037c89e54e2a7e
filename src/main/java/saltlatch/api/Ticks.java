package saltlatch.api;

/**
 * The gateway's unit of time: one tick is a tenth of a millisecond. Points in time are ticks since
 * the Unix epoch. Variables and components that hold ticks are named so, or stand in a class whose
 * comment says so.
 */
public final class Ticks {
  /** Ticks in a millisecond. */
  public static final long PER_MILLISECOND = 10;
  /** Ticks in a second. */
  public static final long PER_SECOND = 10_000;

  /**
   * Takes up the rounding error of a decimal number of milliseconds that stands for whole ticks.
   */
  private static final double ROUNDING_ERROR_TICKS = 1e-6;

  private Ticks() {}

  /** Whole ticks in a time in milliseconds, rounded down. */
  public static long ofMillis(double millis) {
    return (long) Math.floor(millis * PER_MILLISECOND + ROUNDING_ERROR_TICKS);
  }

  /** A time in milliseconds. */
  public static double toMillis(long ticks) {
    return ticks / (double) PER_MILLISECOND;
  }
}
