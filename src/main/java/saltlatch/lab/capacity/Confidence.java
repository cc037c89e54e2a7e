package saltlatch.lab.capacity;

import java.util.Locale;

/**
 * How well a figure is supported, in descending order. A computed figure has the lowest confidence
 * of its inputs.
 */
public enum Confidence {
  /**
   * A figure of the operators' target, a constant of the source code, or a figure computed from
   * these alone.
   */
  GIVEN,
  /** Measured at that size, or taken from a regression line measured up to a larger size. */
  MEASURED,
  /** Extrapolated by a regression line, beyond the largest size that was run. */
  EXTRAPOLATED,
  /** Computed from at least one assumption of docs/capacity/assumptions.toml. */
  ASSUMED,
  /** Neither measured nor assumed: the figure has no value. */
  MISSING;

  /** Returns the lower of this confidence and another. */
  public Confidence and(Confidence other) {
    return compareTo(other) >= 0 ? this : other;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
