package saltlatch.lab.scale;

/** Computes percentiles of measured times. */
final class Percentiles {
  private Percentiles() {}

  /**
   * Returns the percentile as the smallest value that at least {@code part} of the values do not
   * exceed, or NaN if there are no values. A part of 1 gives the largest value.
   */
  static double of(double[] ascending, double part) {
    if (ascending.length == 0) return Double.NaN;
    return ascending[(int) Math.min(ascending.length - 1.0,
        Math.ceil(part * ascending.length) - 1)];
  }
}
