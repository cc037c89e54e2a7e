package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import saltlatch.api.GossipMessage;
import saltlatch.lab.scale.Quantity;
import saltlatch.membership.MembershipTimings;

/** All walls, those that come first at the top; what is not known stands last. */
public final class Walls {
  private static final String BENCH = "bench-prices.jsonl";
  private static final double MS_PER_SECOND = 1000;
  private static final double TENTHS_PER_SECOND = 10_000; // membership's times are tenths of a ms

  private final Basis basis;
  private final List<BenchDay> benchDays;

  private Walls(Basis basis, List<BenchDay> benchDays) {
    this.basis = basis;
    this.benchDays = benchDays;
  }

  /** The walls, by part of the target. */
  public static List<Wall> of(Basis basis, List<BenchDay> benchDays) {
    Walls walls = new Walls(basis, benchDays);
    List<Wall> all = new ArrayList<>();
    walls.distribution(all);
    walls.memory(all);
    walls.requests(all);
    walls.membership(all);
    all.sort(Comparator.comparing((Wall wall) -> !wall.part().known())
        .thenComparing(w -> w.part().value()));
    return all;
  }

  private void distribution(List<Wall> all) {
    Figure appServers = basis.in(Input.APP_SERVERS);
    Figure nodes = basis.in(Input.EDGE_NODES);
    Figure entry = basis.slope(Series.LIST_START, Quantity.BYTES_IN);
    all.add(new Wall("settings change by a restart of every node alone", Consequence.LATE,
        Figure.exact(0), basis.in(Input.CHANGES_PER_DAY), "changes a day",
        Mechanism.RUNNING_SETTINGS));
    all.add(new Wall("a line of the watch beyond its bound is refused, for ever", Consequence.STOPS,
        basis.in(Input.LIST_BOUND_BYTES).over(entry), appServers, "app servers",
        Mechanism.BOUNDED_LIST));
    Figure bytesToStart = basis.in(Input.NODE_BYTES_PER_SECOND)
        .times(basis.in(Input.START_WITHIN_SECONDS));
    all.add(new Wall("a starting node reads the whole list within its budget of bytes",
        Consequence.BUDGET, bytesToStart.over(entry), appServers, "app servers",
        Mechanism.KEPT_LIST));
    Figure msPerChange = Figure.exact(MS_PER_SECOND).over(new Rates(basis).peakChanges());
    all.add(new Wall("one discovery's whole core goes to changes at the peak", Consequence.LATE,
        sizeAt(Series.WATCHERS_CHANGE, Quantity.CPU_MS, msPerChange), nodes, "watchers",
        Mechanism.RELAYS));
    Figure inForce = basis.in(Input.IN_FORCE_SECONDS).times(MS_PER_SECOND);
    all.add(new Wall(
        "one discovery's core sends all the whole list, as after its restart, in the time to be in force",
        Consequence.LATE, sizeAt(Series.WATCHERS_WHOLE, Quantity.CPU_MS, inForce), nodes,
        "watchers", Mechanism.RELAYS));
    Figure sent = basis.in(Input.NETWORK_BYTES_PER_SECOND).times(basis.in(Input.IN_FORCE_SECONDS));
    all.add(new Wall(
        "one discovery's network sends all the whole list, as after its restart, in the time to be in force",
        Consequence.LATE, sent.over(new Rates(basis).listBytes()), nodes, "watchers",
        Mechanism.RELAYS));
  }

  private void memory(List<Wall> all) {
    Figure heap = basis.in(Input.HEAP_BYTES);
    Figure plans = basis.in(Input.TENANTS).times(basis.in(Input.PLANS_PER_TENANT));
    all.add(new Wall("plans in the settings fill the heap", Consequence.STOPS,
        basis.fits().end(Series.PLANS_ENDS.id()), plans, "plans", Mechanism.PLANS_BY_DEMAND));
    all.add(new Wall("the list fills the heap", Consequence.STOPS,
        sizeAt(Series.LIST_START, Quantity.HEAP_BYTES, heap), basis.in(Input.APP_SERVERS),
        "app servers", Mechanism.SUBSETS));
  }

  private void requests(List<Wall> all) {
    Rates rates = new Rates(basis);
    Figure peak = basis.in(Input.REQUESTS_PER_SECOND);
    all.add(new Wall("connections idle out between two requests of a pair", Consequence.BUDGET,
        rates.peakRequestsPerNode().times(basis.in(Input.IDLE_CLOSE_SECONDS)),
        basis.in(Input.APP_SERVERS), "app servers that a node sends to", Mechanism.SUBSETS));
    Figure callsPerRequest = basis.slope(Series.COUNTER_CALLS, Quantity.MESSAGES_OUT)
        .or(basis.in(Input.COUNTER_CALLS_PER_REQUEST));
    all.add(new Wall("the decision module's core goes to choosing among all app servers",
        Consequence.STOPS,
        sizeAt(Series.MODULE_REQUEST, Quantity.CPU_MS,
            Figure.exact(MS_PER_SECOND).over(rates.peakRequestsPerNode())),
        basis.in(Input.APP_SERVERS), "app servers", Mechanism.SUBSETS));
    all.add(new Wall("one counter process answers all calls", Consequence.WRONG_QUOTAS,
        basis.in(Input.COUNTER_CALLS_PER_PROCESS).over(callsPerRequest), peak, "requests/s",
        Mechanism.DIVIDED_COUNTER));
    Figure bytesPerRequest = basis.slope(Series.COUNTER_CALLS, Quantity.BYTES_OUT)
        .plus(basis.slope(Series.COUNTER_CALLS, Quantity.BYTES_IN))
        .or(rates.assumedCounterBytes(Figure.exact(1)));
    all.add(new Wall("a node's calls to the counter alone reach its budget of bytes",
        Consequence.BUDGET, basis.in(Input.NODE_BYTES_PER_SECOND).over(bytesPerRequest),
        rates.peakRequestsPerNode(), "requests/s at a node", Mechanism.DIVIDED_COUNTER));
    all.add(new Wall("units beyond quotas on a calm day, on the bench", Consequence.WRONG_QUOTAS,
        quotasHold(), basis.in(Input.EDGE_NODES), "nodes", Mechanism.FLEET_QUOTAS));
    Figure late = basis.in(Input.ADDED_P99_MS).times(basis.in(Input.LATENESS_PART));
    all.add(new Wall("the load tool's own lateness hides the added latency", Consequence.UNSEEN,
        sizeAt(Series.REQUESTS_LATE, Quantity.P99_MS, late), rates.peakRequestsPerNode(),
        "requests/s at a node", Mechanism.PUNCTUAL_LOAD));
  }

  /**
   * The largest fleet up to which every day of the bench stayed within the margin; 0: not the
   * smallest played.
   */
  private Figure quotasHold() {
    if (benchDays.isEmpty()) return Figure.missing(BENCH);
    double most = basis.inputs().value(Input.QUOTA_SLIP_PART);
    int broken = benchDays.stream().filter(day -> day.overQuota() > most).mapToInt(BenchDay::nodes)
        .min().orElse(Integer.MAX_VALUE);
    int holds = benchDays.stream().mapToInt(BenchDay::nodes).filter(nodes -> nodes < broken).max()
        .orElse(0);
    return Figure.assumed(holds, Input.QUOTA_SLIP_PART.key()).from(BENCH);
  }

  private void membership(List<Wall> all) {
    Figure nodes = basis.in(Input.EDGE_NODES);
    double bound = basis.inputs().value(Input.TAKEOVER_WITHIN_SECONDS) * TENTHS_PER_SECOND;
    all.add(new Wall("a dead node's share is in use again in time", Consequence.WRONG_QUOTAS,
        fleet(terms -> terms.takeoverTicks(), bound), nodes, "nodes", Mechanism.MEMBER_CELLS));
    all.add(new Wall("a datagram tells whom a node hears", Consequence.WRONG_QUOTAS,
        Figure.exact(GossipMessage.MAX_NODES_WITH_REACHABILITY).from("api.Told.MOST_NODES"), nodes,
        "nodes", Mechanism.MEMBER_CELLS));
    all.add(new Wall("one quorum for the whole fleet: a region cut off keeps part of its shares",
        Consequence.WRONG_QUOTAS, Figure.exact(1), basis.in(Input.REGIONS), "regions",
        Mechanism.REGIONAL_SHARES));
  }

  /** The largest fleet whose time, by membership's own formulas, is within a bound. */
  private Figure fleet(ToDoubleFunction<MembershipTimings> time, double most) {
    double datagrams = basis.inputs().value(Input.DATAGRAMS_PER_SECOND);
    int holds = 0;
    while (time.applyAsDouble(MembershipTimings.of(holds + 1, datagrams)) <= most) holds++;
    return Figure.assumed(holds, Input.TAKEOVER_WITHIN_SECONDS.key())
        .from(Input.DATAGRAMS_PER_SECOND.key()).from("member.Terms");
  }

  /**
   * The size at which a series' line reaches a value; 0 where the smallest size run is above it.
   */
  private Figure sizeAt(Series series, Quantity quantity, Figure value) {
    Fit fit = basis.fits().find(series.id(), quantity);
    if (fit != null && value.known() && fit.at(fit.sizes().get(0)).value() > value.value()) {
      return new Figure(0, 0, value.standing().and(Standing.MEASURED),
          value.from(fit.name()).sources());
    }
    Figure size = value.minus(basis.intercept(series, quantity))
        .over(basis.slope(series, quantity));
    boolean beyond = fit != null && size.known() && size.value() > fit.largest();
    return beyond ? size.withStanding(Standing.EXTRAPOLATED) : size;
  }
}
