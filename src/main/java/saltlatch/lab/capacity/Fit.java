package saltlatch.lab.capacity;

import java.util.List;
import saltlatch.lab.scale.LineFit;
import saltlatch.lab.scale.LineFit.Point;
import saltlatch.lab.scale.Quantity;

/**
 * One quantity of one scale test over the size that grew: every repeat is a point of the line.
 *
 * @param test     name of the test
 * @param grows    what grew
 * @param quantity what was measured
 * @param points   the repeats, sizes ascending
 * @param line     the line of least squares through them; null where a single size was run
 * @param commits  texts measured
 */
public record Fit(String test, String grows, Quantity quantity, List<Point> points, LineFit line,
    List<String> commits) {

  // part by which a size may differ from one that was run and count as that
  private static final double SAME = 0.005;

  /** The largest size that was run. */
  public double largest() {
    return points.get(points.size() - 1).size();
  }

  /** The sizes that were run, ascending. */
  public List<Double> sizes() {
    return points.stream().map(Point::size).distinct().toList();
  }

  /** Standard error of the slope. */
  public double slopeError() {
    return deviation() / Math.sqrt(squares());
  }

  /**
   * Standard error of the line's value at a size; it grows with the distance from what was
   * measured.
   */
  public double errorAt(double size) {
    double distance = size - meanSize();
    return deviation() * Math.sqrt(1.0 / points.size() + distance * distance / squares());
  }

  /**
   * What the smaller sizes alone predict for the largest; null where there are fewer than two
   * smaller sizes.
   */
  public Double predictedLargest() {
    if (sizes().size() < 3) return null;
    return LineFit.of(points.stream().filter(p -> p.size() < largest()).toList()).at(largest());
  }

  /** Mean of the repeats at the largest size. */
  public double measuredLargest() {
    return mean(points.stream().filter(p -> p.size() == largest()).map(Point::value).toList());
  }

  /**
   * The value at a size: the repeats' mean and its standard error where the size was run; else the
   * line's, measured up to the largest size run and extrapolated beyond.
   */
  public Figure at(double size) {
    List<Double> repeats = points.stream().filter(p -> Math.abs(p.size() - size) <= SAME * size)
        .map(Point::value).toList();
    if (!repeats.isEmpty()) {
      return cost(mean(repeats), meanError(repeats), Confidence.MEASURED);
    }
    if (line == null) return withoutLine();
    return cost(line.at(size), errorAt(size),
        size <= largest() ? Confidence.MEASURED : Confidence.EXTRAPOLATED);
  }

  /**
   * Nothing costs less than nothing: where a difference of two readings is below 0, nothing is
   * known.
   */
  private Figure cost(double value, double error, Confidence confidence) {
    if (value < 0) return Figure.missing(name() + " (below 0 there)");
    return new Figure(value, error, confidence, List.of(name()));
  }

  /** The line's value at size 0, which may be below 0. */
  public Figure intercept() {
    if (line == null) return withoutLine();
    return new Figure(line.intercept(), errorAt(0), Confidence.MEASURED, List.of(name()));
  }

  /** What one more adds. */
  public Figure slope() {
    if (line == null) return withoutLine();
    return new Figure(line.slope(), slopeError(), Confidence.MEASURED, List.of(name()));
  }

  private Figure withoutLine() {
    return Figure.missing(name() + " (one size alone)");
  }

  /** Test and quantity, as the page names them. */
  public String name() {
    return Fits.name(test, quantity);
  }

  static double mean(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
  }

  /** Standard error of a mean; 0 of a single value, of which nothing is known. */
  static double meanError(List<Double> values) {
    if (values.size() < 2) return 0;
    double mean = mean(values);
    double squares = values.stream().mapToDouble(value -> (value - mean) * (value - mean)).sum();
    return Math.sqrt(squares / (values.size() - 1) / values.size());
  }

  private double meanSize() {
    return points.stream().mapToDouble(Point::size).average().orElseThrow();
  }

  private double squares() {
    double mean = meanSize();
    return points.stream().mapToDouble(p -> (p.size() - mean) * (p.size() - mean)).sum();
  }

  /**
   * Standard deviation of a point from the line: two of the points' freedoms went into the line.
   */
  private double deviation() {
    int free = Math.max(1, points.size() - 2);
    return line.residual() * Math.sqrt((double) points.size() / free);
  }
}
