package saltlatch.lab.capacity;

import java.util.ArrayList;
import java.util.List;

/** An app server: its request rate and the connections that edge nodes hold to it. */
public final class AppServer implements Role {
  private static final String ALL_SERVERS = "any node to any app server, what the text does today";
  private static final String SERVER_SUBSETS = "none yet: each node keeps to a subset";

  @Override
  public String table() {
    return "app-server";
  }

  @Override
  public List<Row> rows(CapacityModel model) {
    List<Row> rows = new ArrayList<>();
    Figure nodes = model.input(Input.EDGE_NODES);
    Figure appServers = model.input(Input.APP_SERVERS);
    Figure requests = new Rates(model).peakRequestsPerAppServer();
    Figure idleCloseSeconds = model.input(Input.IDLE_CLOSE_SECONDS);
    Figure nodesWithSubsets = nodes.times(new Rates(model).pairsPerNode()).dividedBy(appServers);
    rows.add(Row.of("requests", LoadCondition.PEAK, requests, "requests/s", ALL_SERVERS));
    rows.add(Row.of("nodes that send to it, all", LoadCondition.PEAK, nodes, "nodes", ALL_SERVERS));
    rows.add(Row.of("a request of one of these nodes, each", LoadCondition.PEAK,
        nodes.dividedBy(requests), "s", ALL_SERVERS).withBudget(idleCloseSeconds));
    rows.add(Row.of("nodes that send to it, subsets", LoadCondition.PEAK, nodesWithSubsets, "nodes",
        SERVER_SUBSETS));
    rows.add(Row
        .of("a request of one of these nodes, each", LoadCondition.PEAK,
            nodesWithSubsets.dividedBy(requests), "s", SERVER_SUBSETS)
        .withBudget(idleCloseSeconds));
    rows.add(Row.of("nodes at which connections just stay open", LoadCondition.PEAK,
        requests.times(idleCloseSeconds), "nodes",
        "subsets of app servers and of services for a node"));
    rows.add(Row.of("new connections of the nodes", LoadCondition.ZONE_STARTS,
        model.input(Input.ZONE_STARTS).times(new Rates(model).pairsPerNode()).dividedBy(appServers),
        "connections", SERVER_SUBSETS));
    return rows;
  }
}
