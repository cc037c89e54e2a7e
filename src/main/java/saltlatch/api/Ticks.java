package saltlatch.api;

/**
 * Converts the gateway's unit of time. One tick is a tenth of a millisecond; points in time are
 * ticks since the Unix epoch. Variables and record components that hold ticks have names that
 * contain {@code Ticks}, or belong to a class whose comment states the unit.
 */
public final class Ticks {
  /** Ticks per millisecond. */
  public static final long PER_MILLISECOND = 10;
  /** Ticks per second. */
  public static final long PER_SECOND = 10_000;

  /**
   * Added before rounding down, so that a decimal number of milliseconds that stands for whole
   * ticks does not lose a tick to its rounding error.
   */
  private static final double ROUNDING_ERROR_TICKS = 1e-6;

  private Ticks() {}

  /** Returns the whole ticks in a time in milliseconds, rounded down. */
  public static long ofMillis(double millis) {
    return (long) Math.floor(millis * PER_MILLISECOND + ROUNDING_ERROR_TICKS);
  }

  /** Returns a time in milliseconds. */
  public static double toMillis(long ticks) {
    return ticks / (double) PER_MILLISECOND;
  }
}
