package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import saltlatch.lab.scale.Quantity;
import saltlatch.membership.MembershipTimings;

/**
 * An edge node: what control costs it. Bytes are both ways together, processor time is ms a second.
 */
public final class EdgeNode implements Role {
  private static final String LIST = "discovery's watch, `node.TargetDirectory`";
  private static final String SETTINGS = "settings read at the start";
  private static final String MEMBERSHIP = "`member.Membership`, off unless configured";
  private static final String COUNTER = "`wire.CounterClient`, calls thinned by gaps";
  private static final double MS_PER_SECOND = 1000;
  private static final double TENTHS_PER_SECOND = 10_000; // membership's times are tenths of a ms

  @Override
  public String table() {
    return "edge-node";
  }

  @Override
  public List<Row> rows(Basis basis) {
    List<Row> rows = new ArrayList<>();
    state(basis, rows);
    day(basis, Moment.ORDINARY, rows);
    day(basis, Moment.PEAK, rows);
    latency(basis, rows);
    failures(basis, rows);
    badMinutes(basis, rows);
    return rows;
  }

  private static void state(Basis basis, List<Row> rows) {
    Figure list = basis.slope(Series.LIST_START, Quantity.HEAP_BYTES)
        .times(basis.in(Input.APP_SERVERS));
    Figure plans = basis.slope(Series.PLANS_START, Quantity.HEAP_BYTES).times(plans(basis));
    Figure members = basis.at(Series.MEMBERS_REST, Quantity.HEAP_BYTES, Input.EDGE_NODES);
    Figure heap = basis.in(Input.HEAP_BYTES);
    rows.add(Row.of("list of app servers, heap", Moment.ORDINARY, list, "B", LIST).within(heap));
    rows.add(Row.of("plans of tenants, heap", Moment.ORDINARY, plans, "B", SETTINGS).within(heap));
    rows.add(Row.of("routes, heap", Moment.ORDINARY, Figure.missing("a table of routes"), "B",
        "none: the text has no table of routes").within(heap));
    rows.add(Row.of("members, heap", Moment.ORDINARY, members, "B", MEMBERSHIP).within(heap));
    Figure process = basis.intercept(Series.LIST_START, Quantity.HEAP_BYTES);
    rows.add(Row.of("process, list, plans and members, heap", Moment.ORDINARY,
        process.plus(list).plus(plans).plus(members), "B",
        LIST + "; " + SETTINGS + "; " + MEMBERSHIP).within(heap));
    rows.add(Row
        .of("process with the list, resident", Moment.ORDINARY,
            basis.at(Series.LIST_START, Quantity.RSS_BYTES, Input.APP_SERVERS), "B", LIST)
        .within(basis.in(Input.NODE_MEMORY_BYTES)));
    rows.add(Row
        .of("process with list and plans, resident, at its highest", Moment.ORDINARY,
            resident(basis), "B", LIST + "; " + SETTINGS)
        .within(basis.in(Input.NODE_MEMORY_BYTES)));
  }

  /** The process with its list, and what the plans add to it. */
  private static Figure resident(Basis basis) {
    return basis.at(Series.LIST_START, Quantity.RSS_BYTES, Input.APP_SERVERS)
        .plus(basis.slope(Series.PLANS_START, Quantity.RSS_BYTES).times(plans(basis)));
  }

  private static Figure plans(Basis basis) {
    return basis.in(Input.TENANTS).times(basis.in(Input.PLANS_PER_TENANT));
  }

  private static void day(Basis basis, Moment moment, List<Row> rows) {
    Rates rates = new Rates(basis);
    boolean peak = moment == Moment.PEAK;
    Figure changes = peak ? rates.peakChanges() : rates.changes();
    Figure requests = peak ? rates.peakRequestsPerNode() : rates.dayRequestsPerNode();
    Figure budget = basis.in(Input.NODE_BYTES_PER_SECOND);
    Figure list = listBytes(basis, changes);
    Figure members = memberBytes(basis);
    Figure control = list.plus(members);
    Figure counter = rates.counterBytes(requests);
    rows.add(Row.of("changes", moment, changes, "messages/s", LIST));
    rows.add(Row.of("changes and empty lines", moment, list, "B/s", LIST).within(budget));
    rows.add(Row.of("membership", moment, members, "B/s", MEMBERSHIP).within(budget));
    rows.add(Row.of("control without the counter", moment, control, "B/s", LIST + "; " + MEMBERSHIP)
        .within(budget));
    rows.add(Row.of("calls to the counter", moment, counter, "B/s", COUNTER).within(budget));
    rows.add(Row.of("calls to the counter, by the assumptions alone", moment,
        rates.assumedCounterBytes(requests), "B/s", COUNTER).within(budget));
    rows.add(Row.of("control with the counter", moment, control.plus(counter), "B/s",
        LIST + "; " + MEMBERSHIP + "; " + COUNTER).within(budget));
    processorTime(basis, moment, changes, requests, rows);
  }

  private static Figure listBytes(Basis basis, Figure changes) {
    return basis.at(Series.LIST_REST, Quantity.BYTES_IN, Input.APP_SERVERS)
        .plus(basis.at(Series.LIST_CHANGE, Quantity.BYTES_IN, Input.APP_SERVERS).times(changes));
  }

  private static Figure memberBytes(Basis basis) {
    return basis.at(Series.MEMBERS_REST, Quantity.BYTES_IN, Input.EDGE_NODES)
        .plus(basis.at(Series.MEMBERS_REST, Quantity.BYTES_OUT, Input.EDGE_NODES));
  }

  private static void processorTime(Basis basis, Moment moment, Figure changes, Figure requests,
      List<Row> rows) {
    Figure budget = basis.in(Input.NODE_CORE_PART).times(MS_PER_SECOND);
    Figure list = basis.at(Series.LIST_REST, Quantity.CPU_MS, Input.APP_SERVERS)
        .plus(basis.at(Series.LIST_CHANGE, Quantity.CPU_MS, Input.APP_SERVERS).times(changes));
    Figure members = basis.at(Series.MEMBERS_REST, Quantity.CPU_MS, Input.EDGE_NODES);
    rows.add(Row.of("process at rest, and the list's changes", moment, list, "ms/s", LIST)
        .within(budget));
    rows.add(Row.of("membership", moment, members, "ms/s", MEMBERSHIP).within(budget));
    rows.add(Row.of("control without the counter", moment, list.plus(members), "ms/s",
        LIST + "; " + MEMBERSHIP).within(budget));
    rows.add(Row.of("requests, no control", moment,
        basis.at(Series.REQUESTS, Quantity.CPU_MS, requests), "ms/s", "`Control`, `wire`"));
  }

  private static void latency(Basis basis, List<Row> rows) {
    Figure requests = new Rates(basis).peakRequestsPerNode();
    Figure added = basis.in(Input.ADDED_P99_MS);
    Figure choice = basis.at(Series.MODULE_REQUEST, Quantity.CPU_MS, Input.APP_SERVERS);
    rows.add(Row.of("the decision module for a request, among all app servers", Moment.PEAK, choice,
        "ms", "`Control`").within(added));
    rows.add(Row.of("the decision module for all requests, among all app servers", Moment.PEAK,
        choice.times(requests), "ms/s", "`Control`").within(Figure.exact(MS_PER_SECOND)));
    rows.add(Row
        .of("added for 99 in 100 requests", Moment.PEAK,
            basis.at(Series.REQUESTS, Quantity.P99_MS, requests), "ms", "`Control`, `wire`")
        .within(added));
    rows.add(Row
        .of("the load tool's own lateness for 99 in 100", Moment.PEAK,
            basis.at(Series.REQUESTS_LATE, Quantity.P99_MS, requests)
                .or(basis.in(Input.LOAD_TOOL_LATE_MS)),
            "ms", "`lab.load`")
        .within(added.times(basis.in(Input.LATENESS_PART))));
  }

  private static void failures(Basis basis, List<Row> rows) {
    String stated = Input.DATAGRAMS_PER_SECOND.key();
    rows.add(Row
        .of("until all hold a dead node failed", Moment.ORDINARY,
            basis.at(Series.MEMBERS_FAILURE, Quantity.SECONDS, Input.EDGE_NODES), "s", MEMBERSHIP)
        .within(seconds(terms(basis).failureDetectionTicks(), stated)));
    rows.add(Row
        .of("until a dead node's share is in use again, stated", Moment.ORDINARY,
            seconds(terms(basis).takeoverTicks(), stated), "s", MEMBERSHIP)
        .within(basis.in(Input.TAKEOVER_WITHIN_SECONDS)));
  }

  private static void badMinutes(Basis basis, List<Row> rows) {
    Rates rates = new Rates(basis);
    Figure bytes = basis.in(Input.NODE_BYTES_PER_SECOND);
    rows.add(Row.of("whole list", Moment.ZONE_STARTS, rates.listBytes(), "B", LIST));
    rows.add(
        Row.of("whole list at the budget's pace", Moment.ZONE_STARTS, rates.listBytes().over(bytes),
            "s", "a list kept on disk and `since`").within(basis.in(Input.START_WITHIN_SECONDS)));
    rows.add(Row.of("start with the list", Moment.ZONE_STARTS,
        basis.at(Series.LIST_START, Quantity.CPU_MS, Input.APP_SERVERS), "ms of processor", LIST));
    Figure missed = rates.changes().times(basis.in(Input.REGION_CUT_SECONDS));
    rows.add(Row.of("changes missed", Moment.REGION_RETURNS, missed, "changes", "`since`"));
    rows.add(Row.of("changes missed, bytes", Moment.REGION_RETURNS,
        missed.times(basis.at(Series.LIST_CHANGE, Quantity.BYTES_IN, Input.APP_SERVERS)), "B",
        "`since`").within(bytes.times(basis.in(Input.IN_FORCE_SECONDS))));
    rows.add(Row.of("until all agree, all started at once", Moment.REGION_RETURNS,
        basis.at(Series.MEMBERS_BEGIN, Quantity.SECONDS, Input.EDGE_NODES), "s", MEMBERSHIP));
    rows.add(Row.of("until all views are equal, stated", Moment.REGION_RETURNS,
        seconds(terms(basis).convergenceTicks(), Input.DATAGRAMS_PER_SECOND.key()), "s",
        MEMBERSHIP));
    sums(basis, rows);
    rows.add(Row.of("whole lists read", Moment.MACHINE_LOST,
        Figure.missing("a hollow node that changes relays"), "lists", "`since` at another relay"));
  }

  /** Nodes tell sums no faster than the others may take them in: more nodes make a round longer. */
  private static void sums(Basis basis, List<Row> rows) {
    Figure datagrams = basis.in(Input.DATAGRAMS_PER_SECOND).times(basis.in(Input.SUMS_INTAKE_PART));
    Figure each = basis.atLargest(Series.SUMS_JAM, Quantity.BYTES_IN)
        .over(basis.atLargest(Series.SUMS_JAM, Quantity.MESSAGES_IN));
    Figure bothWays = datagrams.times(each).times(2);
    rows.add(Row.of("sums told and taken in, at the most", Moment.COUNTER_EMPTY, bothWays, "B/s",
        "`Gossip`").within(basis.in(Input.NODE_BYTES_PER_SECOND)));
    rows.add(Row.of("a round of sums, if all nodes share customers", Moment.COUNTER_EMPTY,
        basis.in(Input.EDGE_NODES).over(datagrams), "s", "`Gossip`"));
  }

  /** Membership's promised times at the target. */
  static MembershipTimings terms(Basis basis) {
    return MembershipTimings.of((int) basis.inputs().value(Input.EDGE_NODES),
        basis.inputs().value(Input.DATAGRAMS_PER_SECOND));
  }

  private static Figure seconds(long tenthsOfMs, String source) {
    return Figure.assumed(tenthsOfMs / TENTHS_PER_SECOND, source).from("member.Terms");
  }
}
