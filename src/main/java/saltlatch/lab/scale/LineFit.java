package saltlatch.lab.scale;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept value at size 0
 * @param slope     value for each more
 * @param residual  root of the mean square of the distances of the points from the line, in the
 *     value's unit
 */
public record LineFit(double intercept, double slope, double residual) {

  /** A measured point. */
  public record Point(double size, double value) {}

  /** The line of least squares; at least two sizes must differ. */
  public static LineFit of(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double covariance = points.stream()
        .mapToDouble(p -> (p.size - meanSize) * (p.value - meanValue)).sum();
    double variance = points.stream().mapToDouble(p -> (p.size - meanSize) * (p.size - meanSize))
        .sum();
    if (variance == 0) throw new IllegalArgumentException("a line wants two sizes");
    double slope = covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double squares = points.stream()
        .mapToDouble(p -> Math.pow(p.value - intercept - slope * p.size, 2)).sum();
    return new LineFit(intercept, slope, Math.sqrt(squares / points.size()));
  }

  /** The value that the line gives at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }
}
