package saltlatch.lab.capacity;

import java.util.Collection;
import java.util.List;
import java.util.TreeSet;
import java.util.function.DoubleBinaryOperator;

/**
 * A value with its standard error, what it rests on and where it comes from. Errors of different
 * figures are taken as independent.
 *
 * @param value    in a unit that the user of the figure knows; 0 if missing
 * @param error    standard error in the same unit
 * @param confidence the weakest of the inputs
 * @param sources  tests and assumptions that went in, in alphabetical order
 */
public record Figure(double value, double error, Confidence confidence, List<String> sources) {

  /** A figure without an error: an operators' figure or a constant of the text. */
  public static Figure exact(double value) {
    return new Figure(value, 0, Confidence.GIVEN, List.of());
  }

  /** A figure of a stated assumption. */
  public static Figure assumed(double value, String source) {
    return new Figure(value, 0, Confidence.ASSUMED, List.of(source));
  }

  /** Nothing is known; {@code source} names the test or mechanism that would tell. */
  public static Figure missing(String source) {
    return new Figure(0, 0, Confidence.MISSING, List.of(source));
  }

  /** False if nothing is known. */
  public boolean known() {
    return confidence != Confidence.MISSING;
  }

  /** This, or the other where nothing is known of this. */
  public Figure orElse(Figure other) {
    return known() ? this : other;
  }

  /** The sum. */
  public Figure plus(Figure other) {
    return with(other, Double::sum, Math.hypot(error, other.error));
  }

  /** The difference. */
  public Figure minus(Figure other) {
    return with(other, (a, b) -> a - b, Math.hypot(error, other.error));
  }

  /** The product. */
  public Figure times(Figure other) {
    return with(other, (a, b) -> a * b, Math.hypot(error * other.value, value * other.error));
  }

  /** The product with a pure number. */
  public Figure times(double factor) {
    return new Figure(value * factor, error * Math.abs(factor), confidence, sources);
  }

  /** The quotient; a divisor of 0 or less means that nothing is known. */
  public Figure dividedBy(Figure other) {
    if (known() && other.known() && other.value <= 0) return withConfidence(Confidence.MISSING);
    double quotient = other.value == 0 ? 0 : value / other.value;
    double relative = other.value == 0 ? 0 : other.error / other.value;
    return with(other, (a, b) -> quotient,
        other.value == 0 ? 0 : Math.hypot(error / other.value, quotient * relative));
  }

  /** The same, standing no firmer than this. */
  public Figure withConfidence(Confidence weakest) {
    Confidence weaker = confidence.and(weakest);
    return weaker == Confidence.MISSING ? new Figure(0, 0, weaker, sources)
        : new Figure(value, error, weaker, sources);
  }

  /** The same with one more source. */
  public Figure withSource(String source) {
    return new Figure(value, error, confidence, union(List.of(source)));
  }

  private Figure with(Figure other, DoubleBinaryOperator operation, double newError) {
    Confidence weaker = confidence.and(other.confidence);
    List<String> all = union(other.sources);
    if (weaker == Confidence.MISSING) return new Figure(0, 0, weaker, all);
    return new Figure(operation.applyAsDouble(value, other.value), newError, weaker, all);
  }

  private List<String> union(Collection<String> others) {
    TreeSet<String> all = new TreeSet<>(sources);
    all.addAll(others);
    return List.copyOf(all);
  }
}
