package saltlatch.lab.scale;

/** Of measured times. */
final class Percentiles {
  private Percentiles() {}

  /** The value that this part of them does not exceed, 1: the largest; NaN of none. */
  static double of(double[] ascending, double part) {
    if (ascending.length == 0) return Double.NaN;
    return ascending[(int) Math.min(ascending.length - 1.0,
        Math.ceil(part * ascending.length) - 1)];
  }
}
