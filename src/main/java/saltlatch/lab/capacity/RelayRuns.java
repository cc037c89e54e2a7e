package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/**
 * Runs of the relay tiers at the target's number of nodes or of app servers. One machine cannot run
 * both numbers at once. A figure is therefore taken from the largest run of the number that it
 * depends on, and counts as measured only if that run reaches the target in both numbers.
 */
public final class RelayRuns {
  private static final Pattern ENTRIES = Pattern.compile("before (\\d+) app servers");

  /** One measurement of a run. */
  private record Run(Measurement measurement, long nodes, long entries) {}

  private final List<Run> runs = new ArrayList<>();

  private RelayRuns() {}

  /** Returns the runs among these measurements: those that record a number of app servers. */
  public static RelayRuns of(Collection<Measurement> measurements) {
    RelayRuns relayRuns = new RelayRuns();
    for (Measurement measurement : measurements) {
      Matcher entries = ENTRIES.matcher(measurement.grows());
      if (entries.find()) relayRuns.runs
          .add(new Run(measurement, measurement.size(), Long.parseLong(entries.group(1))));
    }
    return relayRuns;
  }

  /**
   * Returns a figure that depends on the number of nodes, for example of changes, from the run with
   * the most nodes. The figure is missing if that run has fewer nodes than the target.
   */
  public Figure ofMostNodes(Series series, Quantity quantity, Inputs target) {
    Run largest = largest(series, quantity,
        Comparator.comparingLong(Run::nodes).thenComparing(Run::entries));
    return figure(largest, series, quantity, target,
        largest != null && largest.nodes >= target.value(Input.EDGE_NODES));
  }

  /**
   * Returns a figure that depends on the number of app servers, for example of complete lists, from
   * the run with the most app servers. The figure is missing if that run has fewer app servers than
   * the target.
   */
  public Figure ofMostEntries(Series series, Quantity quantity, Inputs target) {
    Run largest = largest(series, quantity,
        Comparator.comparingLong(Run::entries).thenComparing(Run::nodes));
    return figure(largest, series, quantity, target,
        largest != null && largest.entries >= target.value(Input.APP_SERVERS));
  }

  private Run largest(Series series, Quantity quantity, Comparator<Run> bySize) {
    return withFiniteValue(series, quantity).stream().max(bySize).orElse(null);
  }

  private List<Run> withFiniteValue(Series series, Quantity quantity) {
    return runs.stream().filter(run -> run.measurement.what().equals(series.id()))
        .filter(run -> Double.isFinite(run.measurement.values().getOrDefault(quantity, Double.NaN)))
        .toList();
  }

  private Figure figure(Run largest, Series series, Quantity quantity, Inputs target,
      boolean reachesTarget) {
    String name = Fits.name(series.id(), quantity);
    if (largest == null) return Figure.missing(name);
    String source = name + " (" + Numbers.unrounded((double) largest.nodes) + " nodes, "
        + Numbers.unrounded((double) largest.entries) + " app servers)";
    if (!reachesTarget) return Figure.missing(source);
    List<Double> repeats = withFiniteValue(series, quantity).stream()
        .filter(run -> run.nodes == largest.nodes && run.entries == largest.entries)
        .map(run -> run.measurement.values().get(quantity)).sorted().toList();
    boolean reachesBoth = largest.nodes >= target.value(Input.EDGE_NODES)
        && largest.entries >= target.value(Input.APP_SERVERS);
    return new Figure(Fit.mean(repeats), Fit.meanError(repeats),
        reachesBoth ? Confidence.MEASURED : Confidence.EXTRAPOLATED, List.of(source));
  }
}
