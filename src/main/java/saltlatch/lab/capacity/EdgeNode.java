package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;
import saltlatch.lab.scale.Quantity;
import saltlatch.membership.MembershipTimings;

/**
 * An edge node: the cost of control traffic and state. Figures in bytes count both directions
 * together; processor time is in ms per second.
 */
public final class EdgeNode implements Role {
  private static final String LIST = "discovery's watch, `node.TargetDirectory`";
  private static final String SETTINGS = "settings read at the start";
  private static final String MEMBERSHIP = "`member.Membership`, off unless configured";
  private static final String COUNTER = "`wire.CounterClient`, calls thinned by gaps";
  private static final double MS_PER_SECOND = 1000;
  private static final double TICKS_PER_SECOND = 10_000; // membership timings are in tenths of a ms

  @Override
  public String table() {
    return "edge-node";
  }

  @Override
  public List<Row> rows(CapacityModel model) {
    List<Row> rows = new ArrayList<>();
    memory(model, rows);
    load(model, LoadCondition.ORDINARY, rows);
    load(model, LoadCondition.PEAK, rows);
    latency(model, rows);
    failures(model, rows);
    exceptionalConditions(model, rows);
    return rows;
  }

  private static void memory(CapacityModel model, List<Row> rows) {
    Figure list = model.slope(Series.LIST_START, Quantity.HEAP_BYTES)
        .times(model.input(Input.APP_SERVERS));
    Figure plans = model.slope(Series.PLANS_START, Quantity.HEAP_BYTES).times(plans(model));
    Figure members = model.at(Series.MEMBERS_REST, Quantity.HEAP_BYTES, Input.EDGE_NODES);
    Figure heap = model.input(Input.HEAP_BYTES);
    rows.add(Row.of("list of app servers, heap", LoadCondition.ORDINARY, list, "B", LIST)
        .withBudget(heap));
    rows.add(Row.of("plans of tenants, heap", LoadCondition.ORDINARY, plans, "B", SETTINGS)
        .withBudget(heap));
    rows.add(Row.of("routes, heap", LoadCondition.ORDINARY, Figure.missing("a table of routes"),
        "B", "none: the text has no table of routes").withBudget(heap));
    rows.add(
        Row.of("members, heap", LoadCondition.ORDINARY, members, "B", MEMBERSHIP).withBudget(heap));
    Figure process = model.intercept(Series.LIST_START, Quantity.HEAP_BYTES);
    rows.add(Row.of("process, list, plans and members, heap", LoadCondition.ORDINARY,
        process.plus(list).plus(plans).plus(members), "B",
        LIST + "; " + SETTINGS + "; " + MEMBERSHIP).withBudget(heap));
    rows.add(Row
        .of("process with the list, resident", LoadCondition.ORDINARY,
            model.at(Series.LIST_START, Quantity.RSS_BYTES, Input.APP_SERVERS), "B", LIST)
        .withBudget(model.input(Input.NODE_MEMORY_BYTES)));
    rows.add(Row
        .of("process with list and plans, resident, at its highest", LoadCondition.ORDINARY,
            resident(model), "B", LIST + "; " + SETTINGS)
        .withBudget(model.input(Input.NODE_MEMORY_BYTES)));
  }

  /** Returns the resident memory of a process with its list, plus the increase due to the plans. */
  private static Figure resident(CapacityModel model) {
    return model.at(Series.LIST_START, Quantity.RSS_BYTES, Input.APP_SERVERS)
        .plus(model.slope(Series.PLANS_START, Quantity.RSS_BYTES).times(plans(model)));
  }

  private static Figure plans(CapacityModel model) {
    return model.input(Input.TENANTS).times(model.input(Input.PLANS_PER_TENANT));
  }

  private static void load(CapacityModel model, LoadCondition condition, List<Row> rows) {
    Rates rates = new Rates(model);
    boolean peak = condition == LoadCondition.PEAK;
    Figure changes = peak ? rates.peakChanges() : rates.changes();
    Figure requests = peak ? rates.peakRequestsPerNode() : rates.dayRequestsPerNode();
    Figure budget = model.input(Input.NODE_BYTES_PER_SECOND);
    Figure list = listBytes(model, changes);
    Figure members = memberBytes(model);
    Figure control = list.plus(members);
    Figure counter = rates.counterBytes(requests);
    rows.add(Row.of("changes", condition, changes, "messages/s", LIST));
    rows.add(Row.of("changes and empty lines", condition, list, "B/s", LIST).withBudget(budget));
    rows.add(Row.of("membership", condition, members, "B/s", MEMBERSHIP).withBudget(budget));
    rows.add(
        Row.of("control without the counter", condition, control, "B/s", LIST + "; " + MEMBERSHIP)
            .withBudget(budget));
    rows.add(Row.of("calls to the counter", condition, counter, "B/s", COUNTER).withBudget(budget));
    rows.add(Row.of("calls to the counter, by the assumptions alone", condition,
        rates.assumedCounterBytes(requests), "B/s", COUNTER).withBudget(budget));
    rows.add(Row.of("control with the counter", condition, control.plus(counter), "B/s",
        LIST + "; " + MEMBERSHIP + "; " + COUNTER).withBudget(budget));
    processorTime(model, condition, changes, requests, rows);
  }

  private static Figure listBytes(CapacityModel model, Figure changes) {
    return model.at(Series.LIST_REST, Quantity.BYTES_IN, Input.APP_SERVERS)
        .plus(model.at(Series.LIST_CHANGE, Quantity.BYTES_IN, Input.APP_SERVERS).times(changes));
  }

  private static Figure memberBytes(CapacityModel model) {
    return model.at(Series.MEMBERS_REST, Quantity.BYTES_IN, Input.EDGE_NODES)
        .plus(model.at(Series.MEMBERS_REST, Quantity.BYTES_OUT, Input.EDGE_NODES));
  }

  private static void processorTime(CapacityModel model, LoadCondition condition, Figure changes,
      Figure requests, List<Row> rows) {
    Figure budget = model.input(Input.NODE_CORE_PART).times(MS_PER_SECOND);
    Figure list = model.at(Series.LIST_REST, Quantity.CPU_MS, Input.APP_SERVERS)
        .plus(model.at(Series.LIST_CHANGE, Quantity.CPU_MS, Input.APP_SERVERS).times(changes));
    Figure members = model.at(Series.MEMBERS_REST, Quantity.CPU_MS, Input.EDGE_NODES);
    rows.add(Row.of("process at rest, and the list's changes", condition, list, "ms/s", LIST)
        .withBudget(budget));
    rows.add(Row.of("membership", condition, members, "ms/s", MEMBERSHIP).withBudget(budget));
    rows.add(Row.of("control without the counter", condition, list.plus(members), "ms/s",
        LIST + "; " + MEMBERSHIP).withBudget(budget));
    rows.add(Row.of("requests, no control", condition,
        model.at(Series.REQUESTS, Quantity.CPU_MS, requests), "ms/s", "`Control`, `wire`"));
  }

  private static void latency(CapacityModel model, List<Row> rows) {
    Figure requests = new Rates(model).peakRequestsPerNode();
    Figure added = model.input(Input.ADDED_P99_MS);
    Figure timePerRequest = model.at(Series.MODULE_REQUEST, Quantity.CPU_MS, Input.APP_SERVERS);
    rows.add(Row.of("the decision module for a request, among all app servers", LoadCondition.PEAK,
        timePerRequest, "ms", "`Control`").withBudget(added));
    rows.add(Row
        .of("the decision module for all requests, among all app servers", LoadCondition.PEAK,
            timePerRequest.times(requests), "ms/s", "`Control`")
        .withBudget(Figure.exact(MS_PER_SECOND)));
    rows.add(Row
        .of("added for 99 in 100 requests", LoadCondition.PEAK,
            model.at(Series.REQUESTS, Quantity.P99_MS, requests), "ms", "`Control`, `wire`")
        .withBudget(added));
    rows.add(Row
        .of("the load tool's own lateness for 99 in 100", LoadCondition.PEAK,
            model.at(Series.REQUESTS_LATE, Quantity.P99_MS, requests)
                .orElse(model.input(Input.LOAD_TOOL_LATE_MS)),
            "ms", "`lab.load`")
        .withBudget(added.times(model.input(Input.LATENESS_PART))));
  }

  private static void failures(CapacityModel model, List<Row> rows) {
    String source = Input.DATAGRAMS_PER_SECOND.key();
    rows.add(Row
        .of("until all hold a dead node failed", LoadCondition.ORDINARY,
            model.at(Series.MEMBERS_FAILURE, Quantity.SECONDS, Input.EDGE_NODES), "s", MEMBERSHIP)
        .withBudget(seconds(timings(model).failureDetectionTicks(), source)));
    rows.add(Row
        .of("until a dead node's share is in use again, stated", LoadCondition.ORDINARY,
            seconds(timings(model).takeoverTicks(), source), "s", MEMBERSHIP)
        .withBudget(model.input(Input.TAKEOVER_WITHIN_SECONDS)));
  }

  private static void exceptionalConditions(CapacityModel model, List<Row> rows) {
    Rates rates = new Rates(model);
    Figure bytesPerSecond = model.input(Input.NODE_BYTES_PER_SECOND);
    rows.add(Row.of("whole list", LoadCondition.ZONE_STARTS, rates.listBytes(), "B", LIST));
    rows.add(Row
        .of("whole list at the budget's pace", LoadCondition.ZONE_STARTS,
            rates.listBytes().dividedBy(bytesPerSecond), "s", "a list kept on disk and `since`")
        .withBudget(model.input(Input.START_WITHIN_SECONDS)));
    rows.add(Row.of("start with the list", LoadCondition.ZONE_STARTS,
        model.at(Series.LIST_START, Quantity.CPU_MS, Input.APP_SERVERS), "ms of processor", LIST));
    Figure missed = rates.changes().times(model.input(Input.REGION_CUT_SECONDS));
    rows.add(Row.of("changes missed", LoadCondition.REGION_RETURNS, missed, "changes", "`since`"));
    rows.add(Row.of("changes missed, bytes", LoadCondition.REGION_RETURNS,
        missed.times(model.at(Series.LIST_CHANGE, Quantity.BYTES_IN, Input.APP_SERVERS)), "B",
        "`since`").withBudget(bytesPerSecond.times(model.input(Input.IN_FORCE_SECONDS))));
    rows.add(Row.of("until all agree, all started at once", LoadCondition.REGION_RETURNS,
        model.at(Series.MEMBERS_BEGIN, Quantity.SECONDS, Input.EDGE_NODES), "s", MEMBERSHIP));
    rows.add(Row.of("until all views are equal, stated", LoadCondition.REGION_RETURNS,
        seconds(timings(model).convergenceTicks(), Input.DATAGRAMS_PER_SECOND.key()), "s",
        MEMBERSHIP));
    sums(model, rows);
    rows.add(Row.of("whole lists read", LoadCondition.MACHINE_LOST,
        Figure.missing("a hollow node that changes relays"), "lists", "`since` at another relay"));
  }

  /**
   * Adds the rows of the sums that nodes exchange while the counter is empty. Nodes send sums at
   * the rate at which others may receive them, so that a round takes longer with more nodes.
   */
  private static void sums(CapacityModel model, List<Row> rows) {
    Figure messagesPerSecond = model.input(Input.DATAGRAMS_PER_SECOND)
        .times(model.input(Input.SUMS_INTAKE_PART));
    Figure bytesPerMessage = model.atLargest(Series.SUMS_JAM, Quantity.BYTES_IN)
        .dividedBy(model.atLargest(Series.SUMS_JAM, Quantity.MESSAGES_IN));
    Figure bothWays = messagesPerSecond.times(bytesPerMessage).times(2);
    rows.add(Row.of("sums told and taken in, at the most", LoadCondition.COUNTER_EMPTY, bothWays,
        "B/s", "`Gossip`").withBudget(model.input(Input.NODE_BYTES_PER_SECOND)));
    rows.add(Row.of("a round of sums, if all nodes share customers", LoadCondition.COUNTER_EMPTY,
        model.input(Input.EDGE_NODES).dividedBy(messagesPerSecond), "s", "`Gossip`"));
  }

  /** Returns the upper bounds of membership's timings at the target's size. */
  static MembershipTimings timings(CapacityModel model) {
    return MembershipTimings.of((int) model.inputs().value(Input.EDGE_NODES),
        model.inputs().value(Input.DATAGRAMS_PER_SECOND));
  }

  private static Figure seconds(long ticks, String source) {
    return Figure.assumed(ticks / TICKS_PER_SECOND, source).withSource("member.Terms");
  }
}
