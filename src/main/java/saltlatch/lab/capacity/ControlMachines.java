package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import saltlatch.lab.scale.Quantity;

/**
 * Discovery and distribution on the control machines: relays in two tiers, figures of one relay
 * that nodes follow.
 */
public final class ControlMachines implements Role {
  private static final String RELAY = "`saltlatch relay`, two tiers";
  private static final String ALONE = "one discovery for all nodes, what there was before";
  private static final double MS_PER_SECOND = 1000;

  @Override
  public String table() {
    return "control-machines";
  }

  @Override
  public List<Row> rows(CapacityModel model) {
    List<Row> rows = new ArrayList<>();
    rows.add(Row.of("watchers of a relay", LoadCondition.ORDINARY, watchers(model, 0), "watchers",
        RELAY));
    load(model, LoadCondition.ORDINARY, Series.RELAY_DAY_LOWER, rows);
    inForce(model, LoadCondition.ORDINARY, Series.RELAY_DAY, RELAY, rows);
    load(model, LoadCondition.PEAK, Series.RELAY_CHANGE_LOWER, rows);
    inForce(model, LoadCondition.PEAK, Series.RELAY_CHANGE, RELAY, rows);
    alone(model, rows);
    zoneStarts(model, rows);
    machineLost(model, rows);
    return rows;
  }

  /** Watchers of each relay that nodes follow, with so many of these relays lost. */
  private static Figure watchers(CapacityModel model, int lost) {
    Figure left = new Rates(model).lastTier().minus(Figure.exact(lost));
    return model.input(Input.EDGE_NODES).dividedBy(left);
  }

  private static void load(CapacityModel model, LoadCondition condition, Series relay,
      List<Row> rows) {
    Rates rates = new Rates(model);
    Figure changes = condition == LoadCondition.PEAK ? rates.peakChanges() : rates.changes();
    rows.add(Row.of("messages to watchers", condition, watchers(model, 0).times(changes),
        "messages/s", RELAY));
    rows.add(Row.of("bytes to watchers", condition, ofMostNodes(model, relay, Quantity.BYTES_OUT),
        "B/s", RELAY).withBudget(model.input(Input.NETWORK_BYTES_PER_SECOND)));
    rows.add(Row.of("processor time of a relay", condition,
        ofMostNodes(model, relay, Quantity.CPU_MS), "ms/s", RELAY));
    rows.add(Row.of("process, resident", condition, ofMostNodes(model, relay, Quantity.RSS_BYTES),
        "B", RELAY));
  }

  /** The slowest node counts: a change is in force everywhere. */
  private static void inForce(CapacityModel model, LoadCondition condition, Series nodes,
      String mechanism, List<Row> rows) {
    Figure most = model.input(Input.IN_FORCE_SECONDS).times(MS_PER_SECOND);
    rows.add(Row.of("a change until in force, 99 in 100", condition,
        times(model, nodes, Quantity.P99_MS), "ms", mechanism).withBudget(most));
    rows.add(Row.of("a change until in force, everywhere", condition,
        times(model, nodes, Quantity.MAX_MS), "ms", mechanism).withBudget(most));
  }

  private static void alone(CapacityModel model, List<Row> rows) {
    Figure changes = new Rates(model).peakChanges();
    rows.add(Row.of("processor time of one discovery, no relays", LoadCondition.PEAK,
        model.at(Series.WATCHERS_CHANGE, Quantity.CPU_MS, Input.EDGE_NODES).times(changes).plus(
            model.at(Series.WATCHERS_REST, Quantity.CPU_MS, Input.EDGE_NODES)),
        "ms/s", ALONE));
    rows.add(Row.of("bytes of one discovery, no relays", LoadCondition.PEAK,
        model.at(Series.WATCHERS_CHANGE, Quantity.BYTES_OUT, Input.EDGE_NODES).times(changes).plus(
            model.at(Series.WATCHERS_REST, Quantity.BYTES_OUT, Input.EDGE_NODES)),
        "B/s", ALONE).withBudget(model.input(Input.NETWORK_BYTES_PER_SECOND)));
    inForce(model, LoadCondition.PEAK, Series.FLEET_CHANGE, ALONE, rows);
    inForce(model, LoadCondition.PEAK, Series.RELAY_DIRECT, ALONE + " (the relays' run)", rows);
  }

  private static void zoneStarts(CapacityModel model, List<Row> rows) {
    Figure starting = model.input(Input.ZONE_STARTS).dividedBy(new Rates(model).lastTier());
    rows.add(Row.of("whole lists sent by a relay", LoadCondition.ZONE_STARTS,
        starting.times(new Rates(model).listBytes()), "B",
        RELAY + ", admitted by a budget of bytes"));
    rows.add(Row.of("processor time of a relay meanwhile", LoadCondition.ZONE_STARTS,
        ofMostEntries(model, Series.RELAY_START_LOWER, Quantity.CPU_MS), "ms/s", RELAY));
    rows.add(started(model, Series.RELAY_START, RELAY));
    rows.add(started(model, Series.RELAY_DIRECT_START, ALONE));
    rows.add(
        Row.of("processor time of one discovery for a whole list to all", LoadCondition.ZONE_STARTS,
            model.at(Series.WATCHERS_WHOLE, Quantity.CPU_MS, Input.EDGE_NODES), "ms", ALONE));
  }

  private static Row started(CapacityModel model, Series series, String mechanism) {
    return Row
        .of("a start until the last of these nodes has the list", LoadCondition.ZONE_STARTS,
            ofMostEntries(model, series, Quantity.MAX_MS), "ms", mechanism)
        .withBudget(model.input(Input.START_WITHIN_SECONDS).times(MS_PER_SECOND));
  }

  private static void machineLost(CapacityModel model, List<Row> rows) {
    rows.add(Row.of("watchers of each relay left", LoadCondition.MACHINE_LOST, watchers(model, 1),
        "watchers", RELAY));
    rows.add(Row.of("whole lists if none can resume", LoadCondition.MACHINE_LOST,
        watchers(model, 1).minus(watchers(model, 0)).times(new Rates(model).listBytes()), "B",
        RELAY + "; `since` spares them"));
    rows.add(Row.of("bytes to watchers of a relay left", LoadCondition.MACHINE_LOST,
        ofMostNodes(model, Series.RELAY_KILLED_LOWER, Quantity.BYTES_OUT), "B/s", RELAY));
    inForce(model, LoadCondition.MACHINE_LOST, Series.RELAY_KILLED, RELAY, rows);
  }

  private static Figure ofMostNodes(CapacityModel model, Series series, Quantity quantity) {
    return model.runs().ofMostNodes(series, quantity, model.inputs());
  }

  private static Figure ofMostEntries(CapacityModel model, Series series, Quantity quantity) {
    return model.runs().ofMostEntries(series, quantity, model.inputs());
  }

  /** The fleet's own test has a line, the relays' runs have none. */
  private static Figure times(CapacityModel model, Series series, Quantity quantity) {
    if (series == Series.FLEET_CHANGE) return model.at(series, quantity, Input.EDGE_NODES);
    return ofMostNodes(model, series, quantity);
  }
}
