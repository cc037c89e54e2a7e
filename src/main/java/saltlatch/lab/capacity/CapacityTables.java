package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import saltlatch.lab.scale.LineFit;

/**
 * All generated tables of docs/CAPACITY.md, from the data alone: no clock, locale, machine or hash
 * order.
 */
public final class CapacityTables {
  // app servers: small, mean, large, largest
  private static final List<Integer> SERVICE_SIZES = List.of(3, 15, 60, 200);
  private static final String NONE = "";

  private final CapacityData data;
  private final CapacityModel model;

  private CapacityTables(CapacityData data) {
    this.data = data;
    this.model = data.model();
  }

  /** The tables. */
  public static List<Table> of(CapacityData data) {
    CapacityTables tables = new CapacityTables(data);
    List<Table> all = new ArrayList<>();
    all.add(tables.inputs("target", Input.Kind.TARGET));
    all.add(MeasurementTables.slopes(tables.model.fits()));
    all.add(MeasurementTables.tests(data.measurements()));
    for (Role role : Role.all()) all.add(tables.role(role));
    List<ScalingLimit> walls = ScalingLimits.of(tables.model, data.benchDays());
    all.add(walls(walls));
    all.add(mechanisms(walls));
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
      Inputs.InputValue given = data.inputs().inputValue(input);
      rows.add(List.of("`" + input.key() + "`", Numbers.unrounded(given.value()), given.unit(),
          given.reason()));
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
    String budget = row.budget() == null ? NONE
        : Numbers.format(row.budget().value()) + " " + row.unit();
    return List.of(row.what(), row.condition().title(), shown(figure, row.unit()), budget,
        within(row), figure.confidence().toString(), sources(figure), row.mechanism());
  }

  private static String within(Row row) {
    if (row.budget() == null || !row.figure().known()) return NONE;
    return row.figure().value() <= row.budget().value() ? "yes" : "**no**";
  }

  private static String shown(Figure figure, String unit) {
    if (!figure.known()) return "missing";
    return Numbers.withError(figure.value(), figure.error()) + (unit.isEmpty() ? "" : " " + unit);
  }

  private static String sources(Figure figure) {
    return figure.sources().isEmpty() ? "target" : String.join(", ", figure.sources());
  }

  private static Table walls(List<ScalingLimit> walls) {
    List<List<String>> rows = new ArrayList<>();
    for (ScalingLimit wall : walls) {
      Figure part = wall.fractionOfTarget();
      rows.add(List.of(part.known() ? Numbers.format(part.value()) : "missing", wall.term(),
          wall.consequence().title(), shown(wall.limit(), wall.unit()),
          Numbers.format(wall.target().value()), part.confidence().toString(), sources(part),
          wall.mechanism().title()));
    }
    return new Table("walls", List.of("part of the target", "what breaks", "then", "holds up to",
        "target", "stands", "from", "taken away by"), rows);
  }

  /**
   * The mechanisms: those first without which nodes stop working, then by the first wall that each
   * takes away.
   */
  private static Table mechanisms(List<ScalingLimit> walls) {
    Map<Mechanism, List<ScalingLimit>> byMechanism = new EnumMap<>(Mechanism.class);
    for (ScalingLimit wall : walls)
      byMechanism.computeIfAbsent(wall.mechanism(), m -> new ArrayList<>()).add(wall);
    List<Mechanism> order = new ArrayList<>(byMechanism.keySet());
    order.sort(Comparator.comparing((Mechanism mechanism) -> !stops(byMechanism.get(mechanism)))
        .thenComparingInt(mechanism -> walls.indexOf(byMechanism.get(mechanism).get(0))));
    List<List<String>> rows = new ArrayList<>();
    for (Mechanism mechanism : order) {
      Figure first = byMechanism.get(mechanism).get(0).fractionOfTarget();
      String terms = String.join("; ",
          byMechanism.get(mechanism).stream().map(ScalingLimit::term).toList());
      rows.add(List.of(Integer.toString(rows.size() + 1), mechanism.title(), mechanism.state(),
          first.known() ? Numbers.format(first.value()) : "missing", terms));
    }
    return new Table("mechanisms",
        List.of("order", "mechanism", "state", "needed from this part on", "walls"), rows);
  }

  /** Whether one of these walls stands below the target and stops nodes. */
  private static boolean stops(List<ScalingLimit> walls) {
    return walls.stream().anyMatch(wall -> wall.consequence() == Consequence.STOPS
        && wall.fractionOfTarget().known() && wall.fractionOfTarget().value() < 1);
  }

  private Table bench() {
    List<List<String>> rows = new ArrayList<>();
    for (BenchDay day : data.benchDays()) {
      String beyond = day.beyondMost() == 0 ? "none told"
          : Numbers.format(day.beyondLeast()) + " to " + Numbers.format(day.beyondMost());
      rows.add(List.of(day.deployment(), day.day(), Integer.toString(day.nodes()),
          day.seed() == null ? "not told" : day.seed().toString(), day.commit(),
          Numbers.format(day.overQuota()), beyond, day.source()));
    }
    return new Table("bench", List.of("deployment", "day", "nodes", "seed", "commit",
        "price `over_quota`", "part of units beyond quotas, steps of 5 s", "from"), rows);
  }

  /** A line for each deployment over its fleets. */
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
        Numbers.format(outcome.moved()), Numbers.format(outcome.least()));
  }
}
