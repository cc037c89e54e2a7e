package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/** The counter service, an external system: the load that all edge nodes together put on it. */
public final class CounterService implements Role {
  private static final String SINGLE_COUNTER = "one counter for all customers";
  private static final String DIVIDED_COUNTER = "none yet: a counter divided by customer";

  @Override
  public String table() {
    return "counter-service";
  }

  @Override
  public List<Row> rows(CapacityModel model) {
    List<Row> rows = new ArrayList<>();
    rows.add(Row.of("counts held", LoadCondition.ORDINARY,
        model.input(Input.TENANTS).times(model.input(Input.COUNTER_BYTES_PER_TENANT)), "B",
        SINGLE_COUNTER));
    rows.add(Row.of("connections of nodes", LoadCondition.ORDINARY, model.input(Input.EDGE_NODES),
        "connections", SINGLE_COUNTER));
    load(model, LoadCondition.ORDINARY, rows);
    load(model, LoadCondition.PEAK, rows);
    rows.add(Row.of("processor time for a call", LoadCondition.PEAK,
        Figure.missing("a counter of the operators' kind: the stand-in says nothing of it"), "ms",
        DIVIDED_COUNTER));
    rows.add(Row.of("counts that begin anew", LoadCondition.COUNTER_EMPTY,
        model.input(Input.TENANTS), "counts", "nodes tell each other what they passed, `Gossip`"));
    return rows;
  }

  private static void load(CapacityModel model, LoadCondition condition, List<Row> rows) {
    Rates rates = new Rates(model);
    Figure perNode = condition == LoadCondition.PEAK ? rates.peakRequestsPerNode()
        : rates.dayRequestsPerNode();
    Figure nodes = model.input(Input.EDGE_NODES);
    Figure calls = rates.counterCalls(perNode).times(nodes);
    rows.add(Row.of("calls", condition, calls, "calls/s", DIVIDED_COUNTER)
        .withBudget(model.input(Input.COUNTER_CALLS_PER_PROCESS)));
    rows.add(Row.of("bytes, both ways", condition, rates.counterBytes(perNode).times(nodes), "B/s",
        DIVIDED_COUNTER));
    rows.add(Row.of("processes that the calls want", condition,
        calls.dividedBy(model.input(Input.COUNTER_CALLS_PER_PROCESS)), "processes",
        DIVIDED_COUNTER));
  }
}
