package saltlatch.lab.scale;

import java.util.List;

/**
 * A linear regression of measured values over size, by least squares.
 *
 * @param intercept value at size 0
 * @param slope     increase of the value for each unit of size
 * @param residual  root mean square of the differences between values and line, in the value's unit
 */
public record LineFit(double intercept, double slope, double residual) {

  /** A value measured at a size. */
  public record Point(double size, double value) {}

  /** Fits a line to the points, which must have at least two different sizes. */
  public static LineFit of(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double covariance = points.stream()
        .mapToDouble(point -> (point.size - meanSize) * (point.value - meanValue)).sum();
    double variance = points.stream()
        .mapToDouble(point -> (point.size - meanSize) * (point.size - meanSize)).sum();
    if (variance == 0) throw new IllegalArgumentException(
        "a line requires points of at least 2 different sizes, found " + points.size()
            + " points of one size");
    double slope = covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double squaredErrors = points.stream()
        .mapToDouble(point -> Math.pow(point.value - intercept - slope * point.size, 2)).sum();
    return new LineFit(intercept, slope, Math.sqrt(squaredErrors / points.size()));
  }

  /** Returns the value of the line at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }
}
