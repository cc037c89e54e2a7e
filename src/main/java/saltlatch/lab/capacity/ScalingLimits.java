package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import saltlatch.api.GossipMessage;
import saltlatch.lab.scale.Quantity;
import saltlatch.membership.MembershipTimings;

/**
 * Computes all scaling limits, in ascending order of the fraction of the target at which they are
 * reached; limits whose fraction is missing are last.
 */
public final class ScalingLimits {
  private static final String BENCH_SOURCE = "bench-prices.jsonl";
  private static final double MS_PER_SECOND = 1000;
  private static final double TICKS_PER_SECOND = 10_000; // membership timings are in tenths of a ms

  private final CapacityModel model;
  private final List<BenchDay> benchDays;

  private ScalingLimits(CapacityModel model, List<BenchDay> benchDays) {
    this.model = model;
    this.benchDays = benchDays;
  }

  /** Returns all limits, in ascending order of the fraction of the target. */
  public static List<ScalingLimit> of(CapacityModel model, List<BenchDay> benchDays) {
    ScalingLimits scalingLimits = new ScalingLimits(model, benchDays);
    List<ScalingLimit> all = new ArrayList<>();
    scalingLimits.addDistributionLimits(all);
    scalingLimits.addMemoryLimits(all);
    scalingLimits.addRequestLimits(all);
    scalingLimits.addMembershipLimits(all);
    all.sort(Comparator.comparing((ScalingLimit limit) -> !limit.fractionOfTarget().known())
        .thenComparing(limit -> limit.fractionOfTarget().value()));
    return all;
  }

  private void addDistributionLimits(List<ScalingLimit> all) {
    Figure appServers = model.input(Input.APP_SERVERS);
    Figure nodes = model.input(Input.EDGE_NODES);
    Figure bytesPerEntry = model.slope(Series.LIST_START, Quantity.BYTES_IN);
    all.add(new ScalingLimit("settings change by a restart of every node alone", Consequence.LATE,
        Figure.exact(0), model.input(Input.CHANGES_PER_DAY), "changes a day",
        Mechanism.RUNNING_SETTINGS));
    all.add(new ScalingLimit("a line of the watch beyond its bound is refused, for ever",
        Consequence.STOPS, model.input(Input.LIST_BOUND_BYTES).dividedBy(bytesPerEntry), appServers,
        "app servers", Mechanism.BOUNDED_LIST));
    Figure bytesToStart = model.input(Input.NODE_BYTES_PER_SECOND)
        .times(model.input(Input.START_WITHIN_SECONDS));
    all.add(new ScalingLimit("a starting node reads the whole list within its budget of bytes",
        Consequence.BUDGET, bytesToStart.dividedBy(bytesPerEntry), appServers, "app servers",
        Mechanism.KEPT_LIST));
    Figure msPerChange = Figure.exact(MS_PER_SECOND).dividedBy(new Rates(model).peakChanges());
    all.add(new ScalingLimit("one discovery's whole core goes to changes at the peak",
        Consequence.LATE, sizeAt(Series.WATCHERS_CHANGE, Quantity.CPU_MS, msPerChange), nodes,
        "watchers", Mechanism.RELAYS));
    Figure inForce = model.input(Input.IN_FORCE_SECONDS).times(MS_PER_SECOND);
    all.add(new ScalingLimit(
        "one discovery's core sends all the whole list, as after its restart, in the time to be in force",
        Consequence.LATE, sizeAt(Series.WATCHERS_WHOLE, Quantity.CPU_MS, inForce), nodes,
        "watchers", Mechanism.RELAYS));
    Figure bytesInTime = model.input(Input.NETWORK_BYTES_PER_SECOND)
        .times(model.input(Input.IN_FORCE_SECONDS));
    all.add(new ScalingLimit(
        "one discovery's network sends all the whole list, as after its restart, in the time to be in force",
        Consequence.LATE, bytesInTime.dividedBy(new Rates(model).listBytes()), nodes, "watchers",
        Mechanism.RELAYS));
  }

  private void addMemoryLimits(List<ScalingLimit> all) {
    Figure heap = model.input(Input.HEAP_BYTES);
    Figure plans = model.input(Input.TENANTS).times(model.input(Input.PLANS_PER_TENANT));
    all.add(new ScalingLimit("plans in the settings fill the heap", Consequence.STOPS,
        model.fits().end(Series.PLANS_ENDS.id()), plans, "plans", Mechanism.PLANS_BY_DEMAND));
    all.add(new ScalingLimit("the list fills the heap", Consequence.STOPS,
        sizeAt(Series.LIST_START, Quantity.HEAP_BYTES, heap), model.input(Input.APP_SERVERS),
        "app servers", Mechanism.SUBSETS));
  }

  private void addRequestLimits(List<ScalingLimit> all) {
    Rates rates = new Rates(model);
    Figure peakRequests = model.input(Input.REQUESTS_PER_SECOND);
    all.add(
        new ScalingLimit("connections idle out between two requests of a pair", Consequence.BUDGET,
            rates.peakRequestsPerNode().times(model.input(Input.IDLE_CLOSE_SECONDS)),
            model.input(Input.APP_SERVERS), "app servers that a node sends to", Mechanism.SUBSETS));
    Figure callsPerRequest = model.slope(Series.COUNTER_CALLS, Quantity.MESSAGES_OUT)
        .orElse(model.input(Input.COUNTER_CALLS_PER_REQUEST));
    all.add(new ScalingLimit("the decision module's core goes to choosing among all app servers",
        Consequence.STOPS,
        sizeAt(Series.MODULE_REQUEST, Quantity.CPU_MS,
            Figure.exact(MS_PER_SECOND).dividedBy(rates.peakRequestsPerNode())),
        model.input(Input.APP_SERVERS), "app servers", Mechanism.SUBSETS));
    all.add(new ScalingLimit("one counter process answers all calls", Consequence.WRONG_QUOTAS,
        model.input(Input.COUNTER_CALLS_PER_PROCESS).dividedBy(callsPerRequest), peakRequests,
        "requests/s", Mechanism.DIVIDED_COUNTER));
    Figure bytesPerRequest = model.slope(Series.COUNTER_CALLS, Quantity.BYTES_OUT)
        .plus(model.slope(Series.COUNTER_CALLS, Quantity.BYTES_IN))
        .orElse(rates.assumedCounterBytes(Figure.exact(1)));
    all.add(new ScalingLimit("a node's calls to the counter alone reach its budget of bytes",
        Consequence.BUDGET, model.input(Input.NODE_BYTES_PER_SECOND).dividedBy(bytesPerRequest),
        rates.peakRequestsPerNode(), "requests/s at a node", Mechanism.DIVIDED_COUNTER));
    all.add(new ScalingLimit("units beyond quotas on a calm day, on the bench",
        Consequence.WRONG_QUOTAS, largestFleetWithinQuotas(), model.input(Input.EDGE_NODES),
        "nodes", Mechanism.FLEET_QUOTAS));
    Figure maxLateness = model.input(Input.ADDED_P99_MS).times(model.input(Input.LATENESS_PART));
    all.add(new ScalingLimit("the load tool's own lateness hides the added latency",
        Consequence.UNSEEN, sizeAt(Series.REQUESTS_LATE, Quantity.P99_MS, maxLateness),
        rates.peakRequestsPerNode(), "requests/s at a node", Mechanism.PUNCTUAL_LOAD));
  }

  /**
   * Returns the largest fleet for which every bench day up to that size kept the excess over quotas
   * within the margin; 0 if even the smallest fleet exceeded it.
   */
  private Figure largestFleetWithinQuotas() {
    if (benchDays.isEmpty()) return Figure.missing(BENCH_SOURCE);
    double maxOverQuota = model.inputs().value(Input.QUOTA_SLIP_PART);
    int smallestFailingFleet = benchDays.stream().filter(day -> day.overQuota() > maxOverQuota)
        .mapToInt(BenchDay::nodes).min().orElse(Integer.MAX_VALUE);
    int largestFleet = benchDays.stream().mapToInt(BenchDay::nodes)
        .filter(nodes -> nodes < smallestFailingFleet).max().orElse(0);
    return Figure.assumed(largestFleet, Input.QUOTA_SLIP_PART.key()).withSource(BENCH_SOURCE);
  }

  private void addMembershipLimits(List<ScalingLimit> all) {
    Figure nodes = model.input(Input.EDGE_NODES);
    double maxTicks = model.inputs().value(Input.TAKEOVER_WITHIN_SECONDS) * TICKS_PER_SECOND;
    all.add(new ScalingLimit("a dead node's share is in use again in time",
        Consequence.WRONG_QUOTAS, largestFleetWithin(timings -> timings.takeoverTicks(), maxTicks),
        nodes, "nodes", Mechanism.MEMBER_CELLS));
    all.add(new ScalingLimit("a datagram tells whom a node hears", Consequence.WRONG_QUOTAS,
        Figure.exact(GossipMessage.MAX_NODES_WITH_REACHABILITY).withSource("api.Told.MOST_NODES"),
        nodes, "nodes", Mechanism.MEMBER_CELLS));
    all.add(new ScalingLimit(
        "one quorum for the whole fleet: a region cut off keeps part of its shares",
        Consequence.WRONG_QUOTAS, Figure.exact(1), model.input(Input.REGIONS), "regions",
        Mechanism.REGIONAL_SHARES));
  }

  /**
   * Returns the largest fleet whose timing, by membership's formulas, is within a bound in ticks.
   */
  private Figure largestFleetWithin(ToDoubleFunction<MembershipTimings> timing, double upperBound) {
    double datagrams = model.inputs().value(Input.DATAGRAMS_PER_SECOND);
    int largestFleet = 0;
    while (timing.applyAsDouble(MembershipTimings.of(largestFleet + 1, datagrams)) <= upperBound)
      largestFleet++;
    return Figure.assumed(largestFleet, Input.TAKEOVER_WITHIN_SECONDS.key())
        .withSource(Input.DATAGRAMS_PER_SECOND.key()).withSource("member.Terms");
  }

  /**
   * Returns the size at which a series' line reaches a value; 0 if the smallest size that was run
   * is already above it.
   */
  private Figure sizeAt(Series series, Quantity quantity, Figure value) {
    Fit fit = model.fits().find(series.id(), quantity);
    if (fit != null && value.known() && fit.at(fit.sizes().get(0)).value() > value.value()) {
      return new Figure(0, 0, value.confidence().and(Confidence.MEASURED),
          value.withSource(fit.name()).sources());
    }
    Figure size = value.minus(model.intercept(series, quantity))
        .dividedBy(model.slope(series, quantity));
    boolean extrapolated = fit != null && size.known() && size.value() > fit.largest();
    return extrapolated ? size.withConfidence(Confidence.EXTRAPOLATED) : size;
  }
}
