package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/**
 * Generates the page's tables of measurements: regression lines, the values that the tests count,
 * and runs that have no regression line.
 */
final class MeasurementTables {
  // prefixes of the names of runs that have no regression line
  private static final List<String> RUN_PREFIXES = List.of("relay.", "fleet.");
  private static final String EMPTY_CELL = "";
  private static final int PERCENT = 100;

  private MeasurementTables() {}

  /** Returns the table of all regression lines. */
  static Table slopes(Fits fits) {
    List<List<String>> rows = new ArrayList<>();
    for (Fit fit : fits.all()) {
      // a count is the result of a test, not a cost
      boolean cost = fit.quantity() != Quantity.COUNT;
      if (cost && fit.line() != null) rows.add(slope(fit));
    }
    return new Table("slopes",
        List.of("measured", "grows", "sizes (repeats in all)", "at size 0", "for each more ± error",
            "residual", "largest, predicted", "largest, measured", "off by", "commit"),
        rows);
  }

  private static List<String> slope(Fit fit) {
    String sizes = String.join(" / ", fit.sizes().stream().map(Numbers::format).toList());
    Double predicted = fit.predictedLargest();
    return List.of(fit.name(), fit.grows(), sizes + " (" + fit.points().size() + ")",
        Numbers.format(fit.line().intercept()),
        Numbers.withError(fit.line().slope(), fit.slopeError()),
        Numbers.format(fit.line().residual()),
        predicted == null ? "too few sizes" : Numbers.format(predicted),
        Numbers.format(fit.measuredLargest()), relativeError(predicted, fit.measuredLargest()),
        String.join(", ", fit.commits()));
  }

  private static String relativeError(Double predicted, double measured) {
    if (predicted == null || measured == 0) return EMPTY_CELL;
    return Math.round(PERCENT * (predicted - measured) / measured) + " %";
  }

  /** Returns the table of what one value of each series counts. */
  static Table tests(Collection<Measurement> measurements) {
    List<List<String>> rows = new ArrayList<>();
    for (Series series : Series.values()) {
      boolean measured = measurements.stream()
          .anyMatch(measurement -> measurement.what().equals(series.id()));
      rows.add(
          List.of("`" + series.id() + "`", series.description(), measured ? "yes" : "missing"));
    }
    return new Table("tests", List.of("test", "one value counts", "run"), rows);
  }

  /** Returns the table of the runs of relays and of hollow nodes. */
  static Table runs(Collection<Measurement> measurements) {
    return meansOfRepeats("runs",
        measurements.stream()
            .filter(measurement -> RUN_PREFIXES.stream().anyMatch(measurement.what()::startsWith))
            .toList());
  }

  /** Returns the table of measurements on an older commit. */
  static Table before(Collection<Measurement> measurements) {
    return meansOfRepeats("before", measurements);
  }

  private static Table meansOfRepeats(String name, Collection<Measurement> measurements) {
    Map<String, List<Measurement>> byKind = new TreeMap<>();
    for (Measurement measurement : measurements) {
      String kind = String.format(Locale.ROOT, "%s %012d %s", measurement.what(),
          measurement.size(), measurement.grows());
      byKind.computeIfAbsent(kind, key -> new ArrayList<>()).add(measurement);
    }
    List<List<String>> rows = new ArrayList<>();
    for (List<Measurement> repeats : byKind.values()) rows.add(meanOfRepeats(repeats));
    if (rows.isEmpty())
      rows.add(List.of("missing", EMPTY_CELL, EMPTY_CELL, EMPTY_CELL, EMPTY_CELL));
    return new Table(name,
        List.of("run", "size", "repeats", "measured, mean of the repeats", "commit"), rows);
  }

  private static List<String> meanOfRepeats(List<Measurement> repeats) {
    List<String> values = new ArrayList<>();
    for (Quantity quantity : Quantity.values()) {
      double[] finite = repeats.stream()
          .filter(measurement -> measurement.values().containsKey(quantity))
          .mapToDouble(measurement -> measurement.values().get(quantity)).filter(Double::isFinite)
          .sorted().toArray();
      if (finite.length == 0) continue;
      double mean = Arrays.stream(finite).average().orElseThrow();
      values.add(quantity.name().toLowerCase(Locale.ROOT) + " " + Numbers.format(mean));
    }
    Measurement first = repeats.get(0);
    List<String> commits = repeats.stream().map(Measurement::commit).distinct().sorted().toList();
    return List.of(first.what(), Numbers.format((double) first.size()) + " " + first.grows(),
        Integer.toString(repeats.size()), String.join(", ", values), String.join(", ", commits));
  }
}
