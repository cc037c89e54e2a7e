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
 * All committed measurements by test and quantity, and the lines through them. A single size has no
 * line.
 */
public final class Fits {
  private static final Comparator<Point> ORDER = Comparator.comparingDouble(Point::size)
      .thenComparingDouble(Point::value);

  private final Map<String, Map<Quantity, Fit>> fits = new TreeMap<>();
  private final Map<String, Double> leastCounts = new TreeMap<>();

  private Fits() {}

  /** Lines through these, whatever their order. */
  public static Fits of(Collection<Measurement> measurements) {
    Map<String, List<Measurement>> byTest = new TreeMap<>();
    for (Measurement one : measurements) {
      byTest.computeIfAbsent(one.what(), test -> new ArrayList<>()).add(one);
    }
    Fits all = new Fits();
    byTest.forEach((test, repeats) -> all.add(test, ofOneKind(repeats)));
    return all;
  }

  private void add(String test, List<Measurement> repeats) {
    Map<Quantity, Fit> byQuantity = new EnumMap<>(Quantity.class);
    for (Quantity quantity : Quantity.values()) {
      Fit fit = fit(test, quantity, repeats);
      if (fit != null) byQuantity.put(quantity, fit);
    }
    fits.put(test, byQuantity);
    repeats.stream().filter(one -> one.values().containsKey(Quantity.COUNT))
        .mapToDouble(one -> one.values().get(Quantity.COUNT)).min()
        .ifPresent(least -> leastCounts.put(test, least));
  }

  private static Fit fit(String test, Quantity quantity, List<Measurement> repeats) {
    List<Measurement> used = repeats.stream()
        // others did not end
        .filter(one -> Double.isFinite(one.values().getOrDefault(quantity, Double.NaN))).toList();
    if (used.isEmpty()) return null;
    List<Point> points = used.stream().map(one -> new Point(one.size(), one.values().get(quantity)))
        .sorted(ORDER).toList();
    boolean line = points.stream().map(Point::size).distinct().count() > 1;
    TreeSet<String> commits = new TreeSet<>();
    used.forEach(one -> commits.add(one.commit()));
    return new Fit(test, used.get(0).grows(), quantity, points, line ? LineFit.of(points) : null,
        List.copyOf(commits));
  }

  /** One thing grows on a line: that which grew to the largest size. */
  private static List<Measurement> ofOneKind(List<Measurement> repeats) {
    String grows = repeats.stream()
        .max(Comparator.comparingLong(Measurement::size).thenComparing(Measurement::grows))
        .orElseThrow().grows();
    return repeats.stream().filter(one -> one.grows().equals(grows)).toList();
  }

  /** All lines, by test and quantity in a fixed order. */
  public List<Fit> all() {
    return fits.values().stream().flatMap(one -> one.values().stream()).toList();
  }

  /** The line of a quantity of a test, null if there is none. */
  public Fit find(String test, Quantity quantity) {
    return fits.getOrDefault(test, Map.of()).get(quantity);
  }

  /** The line's value at a size; missing without a line. */
  public Figure at(String test, Quantity quantity, double size) {
    Fit fit = find(test, quantity);
    return fit == null ? Figure.missing(name(test, quantity)) : fit.at(size);
  }

  /** What one more adds; missing without a line. */
  public Figure slope(String test, Quantity quantity) {
    Fit fit = find(test, quantity);
    return fit == null ? Figure.missing(name(test, quantity)) : fit.slope();
  }

  /** What is there at size 0; missing without a line. */
  public Figure intercept(String test, Quantity quantity) {
    Fit fit = find(test, quantity);
    return fit == null ? Figure.missing(name(test, quantity)) : fit.intercept();
  }

  /** The size at which something ended, of a test that looks for it: the least of its repeats. */
  public Figure end(String test) {
    Double least = leastCounts.get(test);
    if (least == null) return Figure.missing(name(test, Quantity.COUNT));
    return new Figure(least, 0, Confidence.MEASURED, List.of(name(test, Quantity.COUNT)));
  }

  static String name(String test, Quantity quantity) {
    return test + " " + quantity.name().toLowerCase(Locale.ROOT);
  }
}
