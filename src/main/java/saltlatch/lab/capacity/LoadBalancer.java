package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/** The operators' front, which deals requests out to nodes; no part of this project. */
public final class LoadBalancer implements Role {
  private static final String FRONT = "the operators' front";

  @Override
  public String table() {
    return "front";
  }

  @Override
  public List<Row> rows(CapacityModel model) {
    List<Row> rows = new ArrayList<>();
    rows.add(Row.of("nodes that it knows", LoadCondition.ORDINARY, model.input(Input.EDGE_NODES),
        "nodes", FRONT));
    rows.add(Row.of("requests", LoadCondition.PEAK, model.input(Input.REQUESTS_PER_SECOND),
        "requests/s", FRONT));
    rows.add(Row.of("nodes it takes in and drops", LoadCondition.ORDINARY,
        model.input(Input.RESTARTS_PER_DAY)
            .times(model.input(Input.EDGE_NODES)
                .dividedBy(model.input(Input.EDGE_NODES).plus(model.input(Input.APP_SERVERS)))),
        "nodes a day", FRONT));
    rows.add(Row.of("processor time, memory, bytes", LoadCondition.PEAK,
        Figure.missing("the front is not ours to run"), "", FRONT));
    return rows;
  }
}
