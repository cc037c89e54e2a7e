package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/** The operators' front, which deals requests out to nodes; no part of this project. */
public final class Front implements Role {
  private static final String FRONT = "the operators' front";

  @Override
  public String table() {
    return "front";
  }

  @Override
  public List<Row> rows(Basis basis) {
    List<Row> rows = new ArrayList<>();
    rows.add(
        Row.of("nodes that it knows", Moment.ORDINARY, basis.in(Input.EDGE_NODES), "nodes", FRONT));
    rows.add(
        Row.of("requests", Moment.PEAK, basis.in(Input.REQUESTS_PER_SECOND), "requests/s", FRONT));
    rows.add(Row.of("nodes it takes in and drops", Moment.ORDINARY,
        basis.in(Input.RESTARTS_PER_DAY)
            .times(basis.in(Input.EDGE_NODES)
                .over(basis.in(Input.EDGE_NODES).plus(basis.in(Input.APP_SERVERS)))),
        "nodes a day", FRONT));
    rows.add(Row.of("processor time, memory, bytes", Moment.PEAK,
        Figure.missing("the front is not ours to run"), "", FRONT));
    return rows;
  }
}
