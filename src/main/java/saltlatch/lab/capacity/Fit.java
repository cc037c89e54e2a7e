package saltlatch.lab.capacity;

import java.util.List;
import saltlatch.lab.scale.LineFit;
import saltlatch.lab.scale.LineFit.Point;
import saltlatch.lab.scale.Quantity;

/**
 * A regression line of one quantity of one scale test over the size that was varied. Every repeat
 * is one point.
 *
 * @param test     name of the test
 * @param grows    what the size counts
 * @param quantity the measured quantity
 * @param points   the repeats, by ascending size
 * @param line     the line of least squares through the points; null if only one size was run
 * @param commits  commits that were measured
 */
public record Fit(String test, String grows, Quantity quantity, List<Point> points, LineFit line,
    List<String> commits) {

  // a size within this relative distance of a size that was run counts as that size
  private static final double SAME_SIZE_TOLERANCE = 0.005;

  /** Returns the largest size that was run. */
  public double largest() {
    return points.get(points.size() - 1).size();
  }

  /** Returns the distinct sizes that were run, ascending. */
  public List<Double> sizes() {
    return points.stream().map(Point::size).distinct().toList();
  }

  /** Returns the standard error of the slope. */
  public double slopeError() {
    return residualDeviation() / Math.sqrt(squaredSizeDeviations());
  }

  /**
   * Returns the standard error of the line's value at a size. It grows with the distance from the
   * mean of the measured sizes.
   */
  public double errorAt(double size) {
    double distance = size - meanSize();
    return residualDeviation()
        * Math.sqrt(1.0 / points.size() + distance * distance / squaredSizeDeviations());
  }

  /**
   * Returns the prediction for the largest size by a line through the smaller sizes alone, or null
   * if there are fewer than two smaller sizes.
   */
  public Double predictedLargest() {
    if (sizes().size() < 3) return null;
    return LineFit.of(points.stream().filter(point -> point.size() < largest()).toList())
        .at(largest());
  }

  /** Returns the mean of the repeats at the largest size. */
  public double measuredLargest() {
    return mean(
        points.stream().filter(point -> point.size() == largest()).map(Point::value).toList());
  }

  /**
   * Returns the figure at a size. If the size was run, this is the mean of its repeats with the
   * standard error of the mean. Otherwise it is the line's value, which counts as measured up to
   * the largest size that was run and as extrapolated beyond it.
   */
  public Figure at(double size) {
    List<Double> repeats = points.stream()
        .filter(point -> Math.abs(point.size() - size) <= SAME_SIZE_TOLERANCE * size)
        .map(Point::value).toList();
    if (!repeats.isEmpty()) {
      return cost(mean(repeats), meanError(repeats), Confidence.MEASURED);
    }
    if (line == null) return withoutLine();
    return cost(line.at(size), errorAt(size),
        size <= largest() ? Confidence.MEASURED : Confidence.EXTRAPOLATED);
  }

  /**
   * Returns a figure of a cost, or a missing figure if the value is below 0. A cost cannot be
   * negative; a negative value comes from the difference of two readings.
   */
  private Figure cost(double value, double error, Confidence confidence) {
    if (value < 0) return Figure.missing(name() + " (below 0 there)");
    return new Figure(value, error, confidence, List.of(name()));
  }

  /** Returns the line's value at size 0, which may be below 0. */
  public Figure intercept() {
    if (line == null) return withoutLine();
    return new Figure(line.intercept(), errorAt(0), Confidence.MEASURED, List.of(name()));
  }

  /** Returns the line's slope: the increase for each unit of size. */
  public Figure slope() {
    if (line == null) return withoutLine();
    return new Figure(line.slope(), slopeError(), Confidence.MEASURED, List.of(name()));
  }

  private Figure withoutLine() {
    return Figure.missing(name() + " (one size alone)");
  }

  /** Returns the name of test and quantity, as used on the page. */
  public String name() {
    return Fits.name(test, quantity);
  }

  static double mean(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
  }

  /** Returns the standard error of a mean; 0 for a single value, whose error is unknown. */
  static double meanError(List<Double> values) {
    if (values.size() < 2) return 0;
    double mean = mean(values);
    double sumOfSquares = values.stream().mapToDouble(value -> (value - mean) * (value - mean))
        .sum();
    return Math.sqrt(sumOfSquares / (values.size() - 1) / values.size());
  }

  private double meanSize() {
    return points.stream().mapToDouble(Point::size).average().orElseThrow();
  }

  private double squaredSizeDeviations() {
    double mean = meanSize();
    return points.stream().mapToDouble(point -> (point.size() - mean) * (point.size() - mean))
        .sum();
  }

  /**
   * Returns the standard deviation of the points from the line. The line's two parameters reduce
   * the degrees of freedom by two.
   */
  private double residualDeviation() {
    int degreesOfFreedom = Math.max(1, points.size() - 2);
    return line.residual() * Math.sqrt((double) points.size() / degreesOfFreedom);
  }
}
