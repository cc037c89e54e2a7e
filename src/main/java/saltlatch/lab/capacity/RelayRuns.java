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
 * Runs of relays at size. Two things are large in them, nodes and app servers, and one machine does
 * not hold both at once: a figure comes from the run that is largest in what it depends on, and is
 * measured only where both are those of the target.
 */
public final class RelayRuns {
  private static final Pattern ENTRIES = Pattern.compile("before (\\d+) app servers");

  /** One measurement of a run. */
  private record Run(Measurement measured, long nodes, long entries) {}

  private final List<Run> runs = new ArrayList<>();

  private RelayRuns() {}

  /** Those of these measurements that tell nodes and app servers. */
  public static RelayRuns of(Collection<Measurement> measurements) {
    RelayRuns all = new RelayRuns();
    for (Measurement one : measurements) {
      Matcher entries = ENTRIES.matcher(one.grows());
      if (entries.find()) all.runs.add(new Run(one, one.size(), Long.parseLong(entries.group(1))));
    }
    return all;
  }

  /**
   * What depends on the nodes, as changes do, from the run with the most of them; missing below the
   * target's number.
   */
  public Figure ofMostNodes(Series series, Quantity quantity, Inputs target) {
    Run largest = largest(series, quantity,
        Comparator.comparingLong(Run::nodes).thenComparing(Run::entries));
    return figure(largest, series, quantity, target,
        largest != null && largest.nodes >= target.value(Input.EDGE_NODES));
  }

  /**
   * What depends on the app servers, as whole lists do, from the run with the most; missing below
   * the target's number.
   */
  public Figure ofMostEntries(Series series, Quantity quantity, Inputs target) {
    Run largest = largest(series, quantity,
        Comparator.comparingLong(Run::entries).thenComparing(Run::nodes));
    return figure(largest, series, quantity, target,
        largest != null && largest.entries >= target.value(Input.APP_SERVERS));
  }

  private Run largest(Series series, Quantity quantity, Comparator<Run> order) {
    return told(series, quantity).stream().max(order).orElse(null);
  }

  private List<Run> told(Series series, Quantity quantity) {
    return runs.stream().filter(run -> run.measured.what().equals(series.id()))
        .filter(run -> Double.isFinite(run.measured.values().getOrDefault(quantity, Double.NaN)))
        .toList();
  }

  private Figure figure(Run largest, Series series, Quantity quantity, Inputs target,
      boolean enough) {
    String name = Fits.name(series.id(), quantity);
    if (largest == null) return Figure.missing(name);
    String source = name + " (" + Numbers.unrounded((double) largest.nodes) + " nodes, "
        + Numbers.unrounded((double) largest.entries) + " app servers)";
    if (!enough) return Figure.missing(source);
    List<Double> repeats = told(series, quantity).stream()
        .filter(run -> run.nodes == largest.nodes && run.entries == largest.entries)
        .map(run -> run.measured.values().get(quantity)).sorted().toList();
    boolean whole = largest.nodes >= target.value(Input.EDGE_NODES)
        && largest.entries >= target.value(Input.APP_SERVERS);
    return new Figure(Fit.mean(repeats), Fit.meanError(repeats),
        whole ? Confidence.MEASURED : Confidence.EXTRAPOLATED, List.of(source));
  }
}
