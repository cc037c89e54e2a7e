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
 * The page's tables of what was measured: lines, what the tests count, and outcomes that are no
 * lines.
 */
final class MeasurementTables {
  // how their measurements' names begin
  private static final List<String> RUNS = List.of("relay.", "fleet.");
  private static final String NONE = "";
  private static final int PERCENT = 100;

  private MeasurementTables() {}

  /** Every line. */
  static Table slopes(Fits fits) {
    List<List<String>> rows = new ArrayList<>();
    for (Fit fit : fits.all()) {
      boolean cost = fit.quantity() != Quantity.COUNT; // a count says how a test ended
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
        Numbers.format(fit.measuredLargest()), offBy(predicted, fit.measuredLargest()),
        String.join(", ", fit.commits()));
  }

  private static String offBy(Double predicted, double measured) {
    if (predicted == null || measured == 0) return NONE;
    return Math.round(PERCENT * (predicted - measured) / measured) + " %";
  }

  /** What one value of each series counts. */
  static Table tests(Collection<Measurement> measurements) {
    List<List<String>> rows = new ArrayList<>();
    for (Series series : Series.values()) {
      boolean there = measurements.stream().anyMatch(one -> one.what().equals(series.id()));
      rows.add(List.of("`" + series.id() + "`", series.description(), there ? "yes" : "missing"));
    }
    return new Table("tests", List.of("test", "one value counts", "run"), rows);
  }

  /** Runs of relays and hollow nodes together. */
  static Table runs(Collection<Measurement> measurements) {
    return outcomes("runs", measurements.stream()
        .filter(one -> RUNS.stream().anyMatch(one.what()::startsWith)).toList());
  }

  /** Measurements of an older text. */
  static Table before(Collection<Measurement> measurements) {
    return outcomes("before", measurements);
  }

  private static Table outcomes(String name, Collection<Measurement> measurements) {
    Map<String, List<Measurement>> byKind = new TreeMap<>();
    for (Measurement one : measurements) {
      String kind = String.format(Locale.ROOT, "%s %012d %s", one.what(), one.size(), one.grows());
      byKind.computeIfAbsent(kind, k -> new ArrayList<>()).add(one);
    }
    List<List<String>> rows = new ArrayList<>();
    for (List<Measurement> repeats : byKind.values()) rows.add(outcome(repeats));
    if (rows.isEmpty()) rows.add(List.of("missing", NONE, NONE, NONE, NONE));
    return new Table(name,
        List.of("run", "size", "repeats", "measured, mean of the repeats", "commit"), rows);
  }

  private static List<String> outcome(List<Measurement> repeats) {
    List<String> values = new ArrayList<>();
    for (Quantity quantity : Quantity.values()) {
      double[] all = repeats.stream().filter(one -> one.values().containsKey(quantity))
          .mapToDouble(one -> one.values().get(quantity)).filter(Double::isFinite).sorted()
          .toArray();
      if (all.length == 0) continue;
      double mean = Arrays.stream(all).average().orElseThrow();
      values.add(quantity.name().toLowerCase(Locale.ROOT) + " " + Numbers.format(mean));
    }
    Measurement first = repeats.get(0);
    List<String> commits = repeats.stream().map(Measurement::commit).distinct().sorted().toList();
    return List.of(first.what(), Numbers.format((double) first.size()) + " " + first.grows(),
        Integer.toString(repeats.size()), String.join(", ", values), String.join(", ", commits));
  }
}
