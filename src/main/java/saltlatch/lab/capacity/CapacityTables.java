package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltlatch.lab.scale.LineFit;

/**
 * Generates all tables of docs/CAPACITY.md from the data alone. The result does not depend on the
 * clock, the locale, the machine or the iteration order of hash tables.
 */
public final class CapacityTables {
  // app servers of a small, a mean, a large and the largest service
  private static final List<Integer> SERVICE_SIZES = List.of(3, 15, 60, 200);
  private static final String EMPTY_CELL = "";

  private final CapacityData data;
  private final CapacityModel model;

  private CapacityTables(CapacityData data) {
    this.data = data;
    this.model = data.model();
  }

  /** Returns all tables, in a fixed order. */
  public static List<Table> of(CapacityData data) {
    CapacityTables tables = new CapacityTables(data);
    List<Table> all = new ArrayList<>();
    all.add(tables.inputs("target", Input.Kind.TARGET));
    all.add(MeasurementTables.slopes(tables.model.fits()));
    all.add(MeasurementTables.tests(data.measurements()));
    for (Role role : Role.all()) all.add(tables.role(role));
    List<ScalingLimit> limits = ScalingLimits.of(tables.model, data.benchDays());
    all.add(scalingLimits(limits));
    all.add(mechanisms(limits));
    all.add(MeasurementTables.runs(data.measurements()));
    all.add(MeasurementTables.before(data.before()));
    all.add(tables.bench());
    all.add(tables.benchSlopes());
    all.add(tables.inputs("assumptions", Input.Kind.ASSUMPTION));
    all.add(tables.inputs("constants", Input.Kind.CONSTANT));
    all.add(tables.subsets());
    return all;
  }

  private Table inputs(String name, Input.Kind kind) {
    List<List<String>> rows = new ArrayList<>();
    for (Input input : Input.values()) {
      if (input.kind() != kind) continue;
      Inputs.InputValue inputValue = data.inputs().inputValue(input);
      rows.add(List.of("`" + input.key() + "`", Numbers.unrounded(inputValue.value()),
          inputValue.unit(), inputValue.reason()));
    }
    return new Table(name, List.of("name", "value", "unit", "from"), rows);
  }

  private Table role(Role role) {
    List<List<String>> rows = role.rows(model).stream().map(this::row).toList();
    return new Table(role.table(),
        List.of("what", "when", "figure", "budget", "within", "stands", "from", "carried by"),
        rows);
  }

  private List<String> row(Row row) {
    Figure figure = row.figure();
    String budget = row.budget() == null ? EMPTY_CELL
        : Numbers.format(row.budget().value()) + " " + row.unit();
    return List.of(row.what(), row.condition().title(), formatted(figure, row.unit()), budget,
        within(row), figure.confidence().toString(), sources(figure), row.mechanism());
  }

  private static String within(Row row) {
    if (row.budget() == null || !row.figure().known()) return EMPTY_CELL;
    return row.figure().value() <= row.budget().value() ? "yes" : "**no**";
  }

  private static String formatted(Figure figure, String unit) {
    if (!figure.known()) return "missing";
    return Numbers.withError(figure.value(), figure.error()) + (unit.isEmpty() ? "" : " " + unit);
  }

  private static String sources(Figure figure) {
    return figure.sources().isEmpty() ? "target" : String.join(", ", figure.sources());
  }

  private static Table scalingLimits(List<ScalingLimit> limits) {
    List<List<String>> rows = new ArrayList<>();
    for (ScalingLimit limit : limits) {
      Figure fraction = limit.fractionOfTarget();
      rows.add(List.of(fraction.known() ? Numbers.format(fraction.value()) : "missing",
          limit.term(), limit.consequence().title(), formatted(limit.limit(), limit.unit()),
          Numbers.format(limit.target().value()), fraction.confidence().toString(),
          sources(fraction), limit.mechanism().title()));
    }
    return new Table("walls", List.of("part of the target", "what breaks", "then", "holds up to",
        "target", "stands", "from", "taken away by"), rows);
  }

  /**
   * Returns the table of mechanisms. Mechanisms without which nodes stop working below the target's
   * size come first; within both groups, the order is that of the first scaling limit that each
   * removes.
   */
  private static Table mechanisms(List<ScalingLimit> limits) {
    Map<Mechanism, List<ScalingLimit>> byMechanism = new EnumMap<>(Mechanism.class);
    for (ScalingLimit limit : limits)
      byMechanism.computeIfAbsent(limit.mechanism(), key -> new ArrayList<>()).add(limit);
    List<Mechanism> order = new ArrayList<>(byMechanism.keySet());
    order.sort(Comparator
        .comparing((Mechanism mechanism) -> !stopsNodesBelowTarget(byMechanism.get(mechanism)))
        .thenComparingInt(mechanism -> limits.indexOf(byMechanism.get(mechanism).get(0))));
    List<List<String>> rows = new ArrayList<>();
    for (Mechanism mechanism : order) {
      Figure firstFraction = byMechanism.get(mechanism).get(0).fractionOfTarget();
      String limitedTerms = String.join("; ",
          byMechanism.get(mechanism).stream().map(ScalingLimit::term).toList());
      rows.add(List.of(Integer.toString(rows.size() + 1), mechanism.title(), mechanism.state(),
          firstFraction.known() ? Numbers.format(firstFraction.value()) : "missing", limitedTerms));
    }
    return new Table("mechanisms",
        List.of("order", "mechanism", "state", "needed from this part on", "walls"), rows);
  }

  /** Returns whether one of these limits is below the target and stops nodes. */
  private static boolean stopsNodesBelowTarget(List<ScalingLimit> limits) {
    return limits.stream().anyMatch(limit -> limit.consequence() == Consequence.STOPS
        && limit.fractionOfTarget().known() && limit.fractionOfTarget().value() < 1);
  }

  private Table bench() {
    List<List<String>> rows = new ArrayList<>();
    for (BenchDay day : data.benchDays()) {
      String unitsBeyondQuotas = day.beyondMost() == 0 ? "none told"
          : Numbers.format(day.beyondLeast()) + " to " + Numbers.format(day.beyondMost());
      rows.add(List.of(day.deployment(), day.day(), Integer.toString(day.nodes()),
          day.seed() == null ? "not told" : day.seed().toString(), day.commit(),
          Numbers.format(day.overQuota()), unitsBeyondQuotas, day.source()));
    }
    return new Table("bench", List.of("deployment", "day", "nodes", "seed", "commit",
        "price `over_quota`", "part of units beyond quotas, steps of 5 s", "from"), rows);
  }

  /**
   * Fits a line to the price over the number of nodes, for each deployment with two or more sizes.
   */
  private Table benchSlopes() {
    Map<String, List<LineFit.Point>> byDeployment = new TreeMap<>();
    for (BenchDay day : data.benchDays()) {
      byDeployment.computeIfAbsent(day.deployment(), name -> new ArrayList<>())
          .add(new LineFit.Point(day.nodes(), day.overQuota()));
    }
    List<List<String>> rows = new ArrayList<>();
    byDeployment.forEach((deployment, points) -> {
      List<Double> sizes = points.stream().map(LineFit.Point::size).distinct().sorted().toList();
      if (sizes.size() < 2) return;
      LineFit line = LineFit.of(points);
      rows.add(List.of(deployment, String.join(" / ", sizes.stream().map(Numbers::format).toList()),
          Integer.toString(points.size()), Numbers.format(line.slope()),
          Numbers.format(line.residual())));
    });
    return new Table("bench-slopes", List.of("deployment", "nodes", "plays",
        "price `over_quota` for each more node", "residual"), rows);
  }

  private Table subsets() {
    int nodes = (int) data.inputs().value(Input.EDGE_NODES);
    int kept = (int) data.inputs().value(Input.SERVERS_KEPT_PER_SERVICE);
    long seed = (long) data.inputs().value(Input.SUBSET_SEED);
    List<List<String>> rows = new ArrayList<>();
    for (int servers : SERVICE_SIZES) {
      for (SubsetPolicy policy : SubsetPolicy.values()) {
        rows.add(subset(SubsetSimulation.simulate(policy, nodes, servers, kept, seed)));
      }
    }
    return new Table("subsets", List.of("app servers", "kept by a node", "policy", "load p50",
        "p99", "max", "connections, most", "choices moved when one goes", "least that must"), rows);
  }

  private static List<String> subset(SubsetSimulation.Outcome outcome) {
    return List.of(Integer.toString(outcome.servers()), Integer.toString(outcome.kept()),
        outcome.policy().title(), Numbers.format(outcome.p50()), Numbers.format(outcome.p99()),
        Numbers.format(outcome.max()), Numbers.format(outcome.connections()),
        Numbers.format(outcome.movedFraction()), Numbers.format(outcome.minimumMovedFraction()));
  }
}
