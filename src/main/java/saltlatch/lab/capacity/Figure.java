package saltlatch.lab.capacity;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.function.DoubleBinaryOperator;

/**
 * A value with its standard error, confidence and sources. Arithmetic treats the errors of
 * different figures as independent.
 *
 * @param value    in a unit that the caller defines; 0 if missing
 * @param error    standard error in the same unit
 * @param confidence the lowest confidence of the inputs
 * @param sources  names of the tests and assumptions used, in alphabetical order
 */
public record Figure(double value, double error, Confidence confidence, List<String> sources) {

  /** Returns a figure without an error: a value of the target or a constant of the source code. */
  public static Figure exact(double value) {
    return new Figure(value, 0, Confidence.GIVEN, List.of());
  }

  /** Returns a figure that is an assumption; {@code source} names it. */
  public static Figure assumed(double value, String source) {
    return new Figure(value, 0, Confidence.ASSUMED, List.of(source));
  }

  /** Returns a missing figure; {@code source} names the test or mechanism that would provide it. */
  public static Figure missing(String source) {
    return new Figure(0, 0, Confidence.MISSING, List.of(source));
  }

  /** Returns false if the figure is missing. */
  public boolean known() {
    return confidence != Confidence.MISSING;
  }

  /** Returns this figure, or the other one if this one is missing. */
  public Figure orElse(Figure other) {
    return known() ? this : other;
  }

  /** Returns the sum. */
  public Figure plus(Figure other) {
    return combine(other, Double::sum, Math.hypot(error, other.error));
  }

  /** Returns the difference. */
  public Figure minus(Figure other) {
    return combine(other, (left, right) -> left - right, Math.hypot(error, other.error));
  }

  /** Returns the product. */
  public Figure times(Figure other) {
    return combine(other, (left, right) -> left * right,
        Math.hypot(error * other.value, value * other.error));
  }

  /** Returns the product with a dimensionless number that has no error. */
  public Figure times(double factor) {
    return new Figure(value * factor, error * Math.abs(factor), confidence, sources);
  }

  /** Returns the quotient; the result is missing if the divisor is 0 or less. */
  public Figure dividedBy(Figure other) {
    if (known() && other.known() && other.value <= 0) return withConfidence(Confidence.MISSING);
    double quotient = other.value == 0 ? 0 : value / other.value;
    double relativeError = other.value == 0 ? 0 : other.error / other.value;
    return combine(other, (left, right) -> quotient,
        other.value == 0 ? 0 : Math.hypot(error / other.value, quotient * relativeError));
  }

  /** Returns this figure with its confidence limited to at most {@code limit}. */
  public Figure withConfidence(Confidence limit) {
    Confidence lower = confidence.and(limit);
    return lower == Confidence.MISSING ? new Figure(0, 0, lower, sources)
        : new Figure(value, error, lower, sources);
  }

  /** Returns this figure with one more source. */
  public Figure withSource(String source) {
    return new Figure(value, error, confidence, union(List.of(source)));
  }

  private Figure combine(Figure other, DoubleBinaryOperator operation, double newError) {
    Confidence lower = confidence.and(other.confidence);
    List<String> combined = union(other.sources);
    if (lower == Confidence.MISSING) return new Figure(0, 0, lower, combined);
    return new Figure(operation.applyAsDouble(value, other.value), newError, lower, combined);
  }

  private List<String> union(Collection<String> otherSources) {
    TreeSet<String> combined = new TreeSet<>(sources);
    combined.addAll(otherSources);
    return List.copyOf(combined);
  }
}
