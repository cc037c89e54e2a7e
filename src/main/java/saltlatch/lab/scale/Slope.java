package saltlatch.lab.scale;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The linear regression of one quantity of a measurement over size, with the prediction and the
 * measured value at the largest size.
 *
 * @param what      name of the measurement, such as {@code list.start}
 * @param quantity  measured quantity
 * @param smaller   regression over all sizes except the largest
 * @param all       regression over all sizes
 * @param largest   largest size
 * @param predicted prediction of {@code smaller} for the largest size
 * @param measured  mean of all repeats at the largest size, or NaN if it was not measured
 */
public record Slope(String what, Quantity quantity, LineFit smaller, LineFit all, long largest,
    double predicted, double measured) {
  private static final int MIN_SMALLER_SIZES = 2; // that a line requires

  /** Returns the error of the prediction, as a part of the measured value. */
  public double error() {
    return (predicted - measured) / measured;
  }

  /**
   * Returns a regression for each quantity that was measured at enough sizes, in the order of the
   * measurements. The largest size may not have been measured yet.
   */
  public static List<Slope> of(List<Measurement> measurements, long largest) {
    Map<String, List<Measurement>> byName = new LinkedHashMap<>();
    for (Measurement measurement : measurements)
      byName.computeIfAbsent(measurement.what(), name -> new ArrayList<>()).add(measurement);
    List<Slope> slopes = new ArrayList<>();
    byName.forEach((what, sameName) -> {
      for (Quantity quantity : Quantity.values()) {
        Slope slope = of(what, quantity, sameName, largest);
        if (slope != null) slopes.add(slope);
      }
    });
    return slopes;
  }

  private static Slope of(String what, Quantity quantity, List<Measurement> sameName,
      long largest) {
    List<LineFit.Point> all = new ArrayList<>();
    TreeSet<Long> sizes = new TreeSet<>();
    for (Measurement measurement : sameName) {
      if (!measurement.values().containsKey(quantity)) continue;
      all.add(new LineFit.Point(measurement.size(), measurement.values().get(quantity)));
      if (measurement.size() < largest) sizes.add(measurement.size());
    }
    if (sizes.size() < MIN_SMALLER_SIZES) return null;
    LineFit smaller = LineFit.of(all.stream().filter(point -> point.size() < largest).toList());
    double measured = all.stream().filter(point -> point.size() == largest)
        .mapToDouble(LineFit.Point::value).average().orElse(Double.NaN);
    return new Slope(what, quantity, smaller, LineFit.of(all), largest,
        smaller.at((double) largest), measured);
  }
}
