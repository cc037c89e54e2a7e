package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/** An app server: the connections that nodes hold to it. */
public final class AppServer implements Role {
  private static final String ANY = "any node to any app server, what the text does today";
  private static final String SUBSET = "none yet: each node keeps to a subset";

  @Override
  public String table() {
    return "app-server";
  }

  @Override
  public List<Row> rows(Basis basis) {
    List<Row> rows = new ArrayList<>();
    Figure nodes = basis.in(Input.EDGE_NODES);
    Figure appServers = basis.in(Input.APP_SERVERS);
    Figure requests = new Rates(basis).peakRequestsPerAppServer();
    Figure idle = basis.in(Input.IDLE_CLOSE_SECONDS);
    Figure kept = nodes.times(new Rates(basis).pairsPerNode()).over(appServers);
    rows.add(Row.of("requests", Moment.PEAK, requests, "requests/s", ANY));
    rows.add(Row.of("nodes that send to it, all", Moment.PEAK, nodes, "nodes", ANY));
    rows.add(
        Row.of("a request of one of these nodes, each", Moment.PEAK, nodes.over(requests), "s", ANY)
            .within(idle));
    rows.add(Row.of("nodes that send to it, subsets", Moment.PEAK, kept, "nodes", SUBSET));
    rows.add(Row
        .of("a request of one of these nodes, each", Moment.PEAK, kept.over(requests), "s", SUBSET)
        .within(idle));
    rows.add(Row.of("nodes at which connections just stay open", Moment.PEAK, requests.times(idle),
        "nodes", "subsets of app servers and of services for a node"));
    rows.add(Row.of("new connections of the nodes", Moment.ZONE_STARTS,
        basis.in(Input.ZONE_STARTS).times(new Rates(basis).pairsPerNode()).over(appServers),
        "connections", SUBSET));
    return rows;
  }
}
