package saltlatch.lab.capacity;

import java.util.Locale;

/**
 * What a figure rests on, the firmest first; a computed figure stands no firmer than the weakest of
 * its inputs.
 */
public enum Confidence {
  /** A figure of the operators' letter or a constant of the text, or arithmetic on such alone. */
  GIVEN,
  /** Measured at that size or a larger one. */
  MEASURED,
  /** A straight line through measurements, beyond the largest size that was run. */
  EXTRAPOLATED,
  /** At least one input is an assumption of docs/capacity/assumptions.toml. */
  ASSUMED,
  /** No measurement and no assumption: nothing is known. */
  MISSING;

  /** The weaker of two. */
  public Confidence and(Confidence other) {
    return compareTo(other) >= 0 ? this : other;
  }

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
