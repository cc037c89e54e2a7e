package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * The load balancer that distributes requests to edge nodes. The operators provide it; it is not
 * part of this project, so its resource figures are missing.
 */
public final class LoadBalancer implements Role {
  private static final String LOAD_BALANCER = "the operators' front";

  @Override
  public String table() {
    return "front";
  }

  @Override
  public List<Row> rows(CapacityModel model) {
    List<Row> rows = new ArrayList<>();
    rows.add(Row.of("nodes that it knows", LoadCondition.ORDINARY, model.input(Input.EDGE_NODES),
        "nodes", LOAD_BALANCER));
    rows.add(Row.of("requests", LoadCondition.PEAK, model.input(Input.REQUESTS_PER_SECOND),
        "requests/s", LOAD_BALANCER));
    rows.add(Row.of("nodes it takes in and drops", LoadCondition.ORDINARY,
        model.input(Input.RESTARTS_PER_DAY)
            .times(model.input(Input.EDGE_NODES)
                .dividedBy(model.input(Input.EDGE_NODES).plus(model.input(Input.APP_SERVERS)))),
        "nodes a day", LOAD_BALANCER));
    rows.add(Row.of("processor time, memory, bytes", LoadCondition.PEAK,
        Figure.missing("the front is not ours to run"), "", LOAD_BALANCER));
    return rows;
  }
}
