package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import saltlatch.lab.scale.Quantity;

/**
 * Discovery and distribution on the control machines: two tiers of relays. Unless a row says
 * otherwise, its figure is that of one relay of the tier that nodes follow.
 */
public final class ControlMachines implements Role {
  private static final String RELAYS = "`saltlatch relay`, two tiers";
  private static final String ONE_DISCOVERY = "one discovery for all nodes, what there was before";
  private static final double MS_PER_SECOND = 1000;

  @Override
  public String table() {
    return "control-machines";
  }

  @Override
  public List<Row> rows(CapacityModel model) {
    List<Row> rows = new ArrayList<>();
    rows.add(Row.of("watchers of a relay", LoadCondition.ORDINARY, watchers(model, 0), "watchers",
        RELAYS));
    load(model, LoadCondition.ORDINARY, Series.RELAY_DAY_LOWER, rows);
    propagationDelayRows(model, LoadCondition.ORDINARY, Series.RELAY_DAY, RELAYS, rows);
    load(model, LoadCondition.PEAK, Series.RELAY_CHANGE_LOWER, rows);
    propagationDelayRows(model, LoadCondition.PEAK, Series.RELAY_CHANGE, RELAYS, rows);
    singleDiscovery(model, rows);
    zoneStarts(model, rows);
    machineLost(model, rows);
    return rows;
  }

  /** Returns the watchers of each relay that nodes follow after {@code lost} such relays failed. */
  private static Figure watchers(CapacityModel model, int lost) {
    Figure remainingRelays = new Rates(model).lastTier().minus(Figure.exact(lost));
    return model.input(Input.EDGE_NODES).dividedBy(remainingRelays);
  }

  private static void load(CapacityModel model, LoadCondition condition, Series relay,
      List<Row> rows) {
    Rates rates = new Rates(model);
    Figure changes = condition == LoadCondition.PEAK ? rates.peakChanges() : rates.changes();
    rows.add(Row.of("messages to watchers", condition, watchers(model, 0).times(changes),
        "messages/s", RELAYS));
    rows.add(Row.of("bytes to watchers", condition, ofMostNodes(model, relay, Quantity.BYTES_OUT),
        "B/s", RELAYS).withBudget(model.input(Input.NETWORK_BYTES_PER_SECOND)));
    rows.add(Row.of("processor time of a relay", condition,
        ofMostNodes(model, relay, Quantity.CPU_MS), "ms/s", RELAYS));
    rows.add(Row.of("process, resident", condition, ofMostNodes(model, relay, Quantity.RSS_BYTES),
        "B", RELAYS));
  }

  /**
   * Adds the rows of the propagation delay. The maximum over all nodes is the time until a change
   * is in force everywhere.
   */
  private static void propagationDelayRows(CapacityModel model, LoadCondition condition,
      Series nodes, String mechanism, List<Row> rows) {
    Figure budget = model.input(Input.IN_FORCE_SECONDS).times(MS_PER_SECOND);
    rows.add(Row.of("a change until in force, 99 in 100", condition,
        propagationDelay(model, nodes, Quantity.P99_MS), "ms", mechanism).withBudget(budget));
    rows.add(Row.of("a change until in force, everywhere", condition,
        propagationDelay(model, nodes, Quantity.MAX_MS), "ms", mechanism).withBudget(budget));
  }

  private static void singleDiscovery(CapacityModel model, List<Row> rows) {
    Figure changes = new Rates(model).peakChanges();
    rows.add(Row.of("processor time of one discovery, no relays", LoadCondition.PEAK,
        model.at(Series.WATCHERS_CHANGE, Quantity.CPU_MS, Input.EDGE_NODES).times(changes)
            .plus(model.at(Series.WATCHERS_REST, Quantity.CPU_MS, Input.EDGE_NODES)),
        "ms/s", ONE_DISCOVERY));
    rows.add(Row.of("bytes of one discovery, no relays", LoadCondition.PEAK,
        model.at(Series.WATCHERS_CHANGE, Quantity.BYTES_OUT, Input.EDGE_NODES).times(changes)
            .plus(model.at(Series.WATCHERS_REST, Quantity.BYTES_OUT, Input.EDGE_NODES)),
        "B/s", ONE_DISCOVERY).withBudget(model.input(Input.NETWORK_BYTES_PER_SECOND)));
    propagationDelayRows(model, LoadCondition.PEAK, Series.FLEET_CHANGE, ONE_DISCOVERY, rows);
    propagationDelayRows(model, LoadCondition.PEAK, Series.RELAY_DIRECT,
        ONE_DISCOVERY + " (the relays' run)", rows);
  }

  private static void zoneStarts(CapacityModel model, List<Row> rows) {
    Figure startingNodesPerRelay = model.input(Input.ZONE_STARTS)
        .dividedBy(new Rates(model).lastTier());
    rows.add(Row.of("whole lists sent by a relay", LoadCondition.ZONE_STARTS,
        startingNodesPerRelay.times(new Rates(model).listBytes()), "B",
        RELAYS + ", admitted by a budget of bytes"));
    rows.add(Row.of("processor time of a relay meanwhile", LoadCondition.ZONE_STARTS,
        ofMostEntries(model, Series.RELAY_START_LOWER, Quantity.CPU_MS), "ms/s", RELAYS));
    rows.add(startDuration(model, Series.RELAY_START, RELAYS));
    rows.add(startDuration(model, Series.RELAY_DIRECT_START, ONE_DISCOVERY));
    rows.add(Row.of("processor time of one discovery for a whole list to all",
        LoadCondition.ZONE_STARTS,
        model.at(Series.WATCHERS_WHOLE, Quantity.CPU_MS, Input.EDGE_NODES), "ms", ONE_DISCOVERY));
  }

  private static Row startDuration(CapacityModel model, Series series, String mechanism) {
    return Row
        .of("a start until the last of these nodes has the list", LoadCondition.ZONE_STARTS,
            ofMostEntries(model, series, Quantity.MAX_MS), "ms", mechanism)
        .withBudget(model.input(Input.START_WITHIN_SECONDS).times(MS_PER_SECOND));
  }

  private static void machineLost(CapacityModel model, List<Row> rows) {
    rows.add(Row.of("watchers of each relay left", LoadCondition.MACHINE_LOST, watchers(model, 1),
        "watchers", RELAYS));
    rows.add(Row.of("whole lists if none can resume", LoadCondition.MACHINE_LOST,
        watchers(model, 1).minus(watchers(model, 0)).times(new Rates(model).listBytes()), "B",
        RELAYS + "; `since` spares them"));
    rows.add(Row.of("bytes to watchers of a relay left", LoadCondition.MACHINE_LOST,
        ofMostNodes(model, Series.RELAY_KILLED_LOWER, Quantity.BYTES_OUT), "B/s", RELAYS));
    propagationDelayRows(model, LoadCondition.MACHINE_LOST, Series.RELAY_KILLED, RELAYS, rows);
  }

  private static Figure ofMostNodes(CapacityModel model, Series series, Quantity quantity) {
    return model.runs().ofMostNodes(series, quantity, model.inputs());
  }

  private static Figure ofMostEntries(CapacityModel model, Series series, Quantity quantity) {
    return model.runs().ofMostEntries(series, quantity, model.inputs());
  }

  /**
   * Returns a propagation delay. The fleet test was run at several sizes and has a regression line;
   * the relay runs have none.
   */
  private static Figure propagationDelay(CapacityModel model, Series series, Quantity quantity) {
    if (series == Series.FLEET_CHANGE) return model.at(series, quantity, Input.EDGE_NODES);
    return ofMostNodes(model, series, quantity);
  }
}
