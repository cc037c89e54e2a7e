package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/** The counter service, an outside system: what all nodes together ask of it. */
public final class CounterService implements Role {
  private static final String ONE = "one counter for all customers";
  private static final String DIVIDED = "none yet: a counter divided by customer";

  @Override
  public String table() {
    return "counter-service";
  }

  @Override
  public List<Row> rows(Basis basis) {
    List<Row> rows = new ArrayList<>();
    rows.add(Row.of("counts held", Moment.ORDINARY,
        basis.in(Input.TENANTS).times(basis.in(Input.COUNTER_BYTES_PER_TENANT)), "B", ONE));
    rows.add(Row.of("connections of nodes", Moment.ORDINARY, basis.in(Input.EDGE_NODES),
        "connections", ONE));
    load(basis, Moment.ORDINARY, rows);
    load(basis, Moment.PEAK, rows);
    rows.add(Row.of("processor time for a call", Moment.PEAK,
        Figure.missing("a counter of the operators' kind: the stand-in says nothing of it"), "ms",
        DIVIDED));
    rows.add(Row.of("counts that begin anew", Moment.COUNTER_EMPTY, basis.in(Input.TENANTS),
        "counts", "nodes tell each other what they passed, `Gossip`"));
    return rows;
  }

  private static void load(Basis basis, Moment moment, List<Row> rows) {
    Rates rates = new Rates(basis);
    Figure perNode = moment == Moment.PEAK ? rates.peakRequestsPerNode()
        : rates.dayRequestsPerNode();
    Figure nodes = basis.in(Input.EDGE_NODES);
    Figure calls = rates.counterCalls(perNode).times(nodes);
    rows.add(Row.of("calls", moment, calls, "calls/s", DIVIDED)
        .within(basis.in(Input.COUNTER_CALLS_PER_PROCESS)));
    rows.add(Row.of("bytes, both ways", moment, rates.counterBytes(perNode).times(nodes), "B/s",
        DIVIDED));
    rows.add(Row.of("processes that the calls want", moment,
        calls.over(basis.in(Input.COUNTER_CALLS_PER_PROCESS)), "processes", DIVIDED));
  }
}
