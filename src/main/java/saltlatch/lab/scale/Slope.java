package saltlatch.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * One quantity of one measurement over the size that grew: the line through the smaller sizes, what
 * it foretells for the largest, what was measured there, and the line through all.
 *
 * @param what      the measurement, such as {@code list.start}
 * @param smaller   the line through all sizes but the largest
 * @param all       the line through all sizes
 * @param largest   the largest size
 * @param predicted for the largest size by {@code smaller}
 * @param measured  at the largest size, the mean of its repeats; NaN: not yet
 */
public record Slope(String what, Quantity quantity, LineFit smaller, LineFit all, long largest,
    double predicted, double measured) {
  private static final int LEAST_SIZES = 2; // smaller ones, for a line

  /** How far the prediction was off, as a part of what was measured. */
  public double error() {
    return (predicted - measured) / measured;
  }

  /**
   * Of every quantity with enough sizes, in the order of their measuring; the largest size may be
   * still to come.
   */
  public static List<Slope> of(List<Measurement> measurements, long largest) {
    Map<String, List<Measurement>> byName = new LinkedHashMap<>();
    for (Measurement one : measurements)
      byName.computeIfAbsent(one.what(), name -> new ArrayList<>()).add(one);
    List<Slope> slopes = new ArrayList<>();
    byName.forEach((what, some) -> {
      for (Quantity quantity : Quantity.values()) {
        Slope slope = of(what, quantity, some, largest);
        if (slope != null) slopes.add(slope);
      }
    });
    return slopes;
  }

  private static Slope of(String what, Quantity quantity, List<Measurement> some, long largest) {
    List<LineFit.Point> all = new ArrayList<>();
    TreeSet<Long> sizes = new TreeSet<>();
    for (Measurement one : some) {
      if (!one.values().containsKey(quantity)) continue;
      all.add(new LineFit.Point(one.size(), one.values().get(quantity)));
      if (one.size() < largest) sizes.add(one.size());
    }
    if (sizes.size() < LEAST_SIZES) return null;
    LineFit smaller = LineFit.of(all.stream().filter(point -> point.size() < largest).toList());
    double measured = all.stream().filter(point -> point.size() == largest)
        .mapToDouble(LineFit.Point::value).average().orElse(Double.NaN);
    return new Slope(what, quantity, smaller, LineFit.of(all), largest,
        smaller.at((double) largest), measured);
  }
}
