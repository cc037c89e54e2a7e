package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import saltlatch.lab.scale.LineFit;
import saltlatch.lab.scale.LineFit.Point;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/**
 * The regression lines through all committed measurements, by test and quantity. A test with a
 * single size has no line.
 */
public final class Fits {
  private static final Comparator<Point> BY_SIZE_AND_VALUE = Comparator.comparingDouble(Point::size)
      .thenComparingDouble(Point::value);

  private final Map<String, Map<Quantity, Fit>> fits = new TreeMap<>();
  private final Map<String, Double> smallestCounts = new TreeMap<>();

  private Fits() {}

  /** Returns the lines through these measurements; their order does not matter. */
  public static Fits of(Collection<Measurement> measurements) {
    Map<String, List<Measurement>> byTest = new TreeMap<>();
    for (Measurement measurement : measurements) {
      byTest.computeIfAbsent(measurement.what(), test -> new ArrayList<>()).add(measurement);
    }
    Fits all = new Fits();
    byTest.forEach((test, repeats) -> all.add(test, withSameVariable(repeats)));
    return all;
  }

  private void add(String test, List<Measurement> repeats) {
    Map<Quantity, Fit> byQuantity = new EnumMap<>(Quantity.class);
    for (Quantity quantity : Quantity.values()) {
      Fit fit = fit(test, quantity, repeats);
      if (fit != null) byQuantity.put(quantity, fit);
    }
    fits.put(test, byQuantity);
    repeats.stream().filter(measurement -> measurement.values().containsKey(Quantity.COUNT))
        .mapToDouble(measurement -> measurement.values().get(Quantity.COUNT)).min()
        .ifPresent(smallest -> smallestCounts.put(test, smallest));
  }

  private static Fit fit(String test, Quantity quantity, List<Measurement> repeats) {
    List<Measurement> finite = repeats.stream()
        // a repeat that did not end has no finite value
        .filter(
            measurement -> Double.isFinite(measurement.values().getOrDefault(quantity, Double.NaN)))
        .toList();
    if (finite.isEmpty()) return null;
    List<Point> points = finite.stream()
        .map(measurement -> new Point(measurement.size(), measurement.values().get(quantity)))
        .sorted(BY_SIZE_AND_VALUE).toList();
    boolean line = points.stream().map(Point::size).distinct().count() > 1;
    TreeSet<String> commits = new TreeSet<>();
    finite.forEach(measurement -> commits.add(measurement.commit()));
    return new Fit(test, finite.get(0).grows(), quantity, points, line ? LineFit.of(points) : null,
        List.copyOf(commits));
  }

  /**
   * Returns the repeats whose size counts the same thing. If a test varied several things, this is
   * the one with the largest size.
   */
  private static List<Measurement> withSameVariable(List<Measurement> repeats) {
    String grows = repeats.stream()
        .max(Comparator.comparingLong(Measurement::size).thenComparing(Measurement::grows))
        .orElseThrow().grows();
    return repeats.stream().filter(measurement -> measurement.grows().equals(grows)).toList();
  }

  /** Returns all lines, ordered by test and quantity. */
  public List<Fit> all() {
    return fits.values().stream().flatMap(byQuantity -> byQuantity.values().stream()).toList();
  }

  /** Returns the line of a quantity of a test, or null if there is none. */
  public Fit find(String test, Quantity quantity) {
    return fits.getOrDefault(test, Map.of()).get(quantity);
  }

  /** Returns the figure at a size; missing if it was not measured and no line gives it. */
  public Figure at(String test, Quantity quantity, double size) {
    Fit fit = find(test, quantity);
    return fit == null ? Figure.missing(name(test, quantity)) : fit.at(size);
  }

  /** Returns the slope of a line; missing if there is no line. */
  public Figure slope(String test, Quantity quantity) {
    Fit fit = find(test, quantity);
    return fit == null ? Figure.missing(name(test, quantity)) : fit.slope();
  }

  /** Returns the value of a line at size 0; missing if there is no line. */
  public Figure intercept(String test, Quantity quantity) {
    Fit fit = find(test, quantity);
    return fit == null ? Figure.missing(name(test, quantity)) : fit.intercept();
  }

  /**
   * Returns the smallest count over the repeats of a test that searches for the largest size that
   * works; missing if the test was not run.
   */
  public Figure end(String test) {
    Double smallest = smallestCounts.get(test);
    if (smallest == null) return Figure.missing(name(test, Quantity.COUNT));
    return new Figure(smallest, 0, Confidence.MEASURED, List.of(name(test, Quantity.COUNT)));
  }

  static String name(String test, Quantity quantity) {
    return test + " " + quantity.name().toLowerCase(Locale.ROOT);
  }
}
