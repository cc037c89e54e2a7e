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
  public List<Row> rows(Basis basis) {
    List<Row> rows = new ArrayList<>();
    rows.add(Row.of("watchers of a relay", Moment.ORDINARY, watchers(basis, 0), "watchers", RELAY));
    load(basis, Moment.ORDINARY, Series.RELAY_DAY_LOWER, rows);
    inForce(basis, Moment.ORDINARY, Series.RELAY_DAY, RELAY, rows);
    load(basis, Moment.PEAK, Series.RELAY_CHANGE_LOWER, rows);
    inForce(basis, Moment.PEAK, Series.RELAY_CHANGE, RELAY, rows);
    alone(basis, rows);
    zoneStarts(basis, rows);
    machineLost(basis, rows);
    return rows;
  }

  /** Watchers of each relay that nodes follow, with so many of these relays lost. */
  private static Figure watchers(Basis basis, int lost) {
    Figure left = new Rates(basis).lastTier().minus(Figure.exact(lost));
    return basis.in(Input.EDGE_NODES).over(left);
  }

  private static void load(Basis basis, Moment moment, Series relay, List<Row> rows) {
    Rates rates = new Rates(basis);
    Figure changes = moment == Moment.PEAK ? rates.peakChanges() : rates.changes();
    rows.add(Row.of("messages to watchers", moment, watchers(basis, 0).times(changes), "messages/s",
        RELAY));
    rows.add(Row.of("bytes to watchers", moment, ofMostNodes(basis, relay, Quantity.BYTES_OUT),
        "B/s", RELAY).within(basis.in(Input.NETWORK_BYTES_PER_SECOND)));
    rows.add(Row.of("processor time of a relay", moment, ofMostNodes(basis, relay, Quantity.CPU_MS),
        "ms/s", RELAY));
    rows.add(Row.of("process, resident", moment, ofMostNodes(basis, relay, Quantity.RSS_BYTES), "B",
        RELAY));
  }

  /** The slowest node counts: a change is in force everywhere. */
  private static void inForce(Basis basis, Moment moment, Series nodes, String mechanism,
      List<Row> rows) {
    Figure most = basis.in(Input.IN_FORCE_SECONDS).times(MS_PER_SECOND);
    rows.add(Row.of("a change until in force, 99 in 100", moment,
        times(basis, nodes, Quantity.P99_MS), "ms", mechanism).within(most));
    rows.add(Row.of("a change until in force, everywhere", moment,
        times(basis, nodes, Quantity.MAX_MS), "ms", mechanism).within(most));
  }

  private static void alone(Basis basis, List<Row> rows) {
    Figure changes = new Rates(basis).peakChanges();
    rows.add(Row.of("processor time of one discovery, no relays", Moment.PEAK,
        basis.at(Series.WATCHERS_CHANGE, Quantity.CPU_MS, Input.EDGE_NODES).times(changes).plus(
            basis.at(Series.WATCHERS_REST, Quantity.CPU_MS, Input.EDGE_NODES)),
        "ms/s", ALONE));
    rows.add(Row.of("bytes of one discovery, no relays", Moment.PEAK,
        basis.at(Series.WATCHERS_CHANGE, Quantity.BYTES_OUT, Input.EDGE_NODES).times(changes).plus(
            basis.at(Series.WATCHERS_REST, Quantity.BYTES_OUT, Input.EDGE_NODES)),
        "B/s", ALONE).within(basis.in(Input.NETWORK_BYTES_PER_SECOND)));
    inForce(basis, Moment.PEAK, Series.FLEET_CHANGE, ALONE, rows);
    inForce(basis, Moment.PEAK, Series.RELAY_DIRECT, ALONE + " (the relays' run)", rows);
  }

  private static void zoneStarts(Basis basis, List<Row> rows) {
    Figure starting = basis.in(Input.ZONE_STARTS).over(new Rates(basis).lastTier());
    rows.add(Row.of("whole lists sent by a relay", Moment.ZONE_STARTS,
        starting.times(new Rates(basis).listBytes()), "B",
        RELAY + ", admitted by a budget of bytes"));
    rows.add(Row.of("processor time of a relay meanwhile", Moment.ZONE_STARTS,
        ofMostEntries(basis, Series.RELAY_START_LOWER, Quantity.CPU_MS), "ms/s", RELAY));
    rows.add(started(basis, Series.RELAY_START, RELAY));
    rows.add(started(basis, Series.RELAY_DIRECT_START, ALONE));
    rows.add(Row.of("processor time of one discovery for a whole list to all", Moment.ZONE_STARTS,
        basis.at(Series.WATCHERS_WHOLE, Quantity.CPU_MS, Input.EDGE_NODES), "ms", ALONE));
  }

  private static Row started(Basis basis, Series series, String mechanism) {
    return Row
        .of("a start until the last of these nodes has the list", Moment.ZONE_STARTS,
            ofMostEntries(basis, series, Quantity.MAX_MS), "ms", mechanism)
        .within(basis.in(Input.START_WITHIN_SECONDS).times(MS_PER_SECOND));
  }

  private static void machineLost(Basis basis, List<Row> rows) {
    rows.add(Row.of("watchers of each relay left", Moment.MACHINE_LOST, watchers(basis, 1),
        "watchers", RELAY));
    rows.add(Row.of("whole lists if none can resume", Moment.MACHINE_LOST,
        watchers(basis, 1).minus(watchers(basis, 0)).times(new Rates(basis).listBytes()), "B",
        RELAY + "; `since` spares them"));
    rows.add(Row.of("bytes to watchers of a relay left", Moment.MACHINE_LOST,
        ofMostNodes(basis, Series.RELAY_KILLED_LOWER, Quantity.BYTES_OUT), "B/s", RELAY));
    inForce(basis, Moment.MACHINE_LOST, Series.RELAY_KILLED, RELAY, rows);
  }

  private static Figure ofMostNodes(Basis basis, Series series, Quantity quantity) {
    return basis.runs().ofMostNodes(series, quantity, basis.inputs());
  }

  private static Figure ofMostEntries(Basis basis, Series series, Quantity quantity) {
    return basis.runs().ofMostEntries(series, quantity, basis.inputs());
  }

  /** The fleet's own test has a line, the relays' runs have none. */
  private static Figure times(Basis basis, Series series, Quantity quantity) {
    if (series == Series.FLEET_CHANGE) return basis.at(series, quantity, Input.EDGE_NODES);
    return ofMostNodes(basis, series, quantity);
  }
}
