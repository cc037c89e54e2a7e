package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A small deployment with the figures of the site sinar-order-api: two edge nodes, some app servers
 * in two halls, one counter, and an agent of discovery for each node.
 */
final class Deployment implements AutoCloseable {
  static final int NODES = 2;
  /** One way between a node, which stands in hall-a, and app servers of the two halls, in ms. */
  private static final double SAME_HALL_MS = 0.25;
  private static final double OTHER_HALL_MS = 2.0;
  private static final int GROUP_SIZE = 4;

  final List<AppServer> appServers = new ArrayList<>();
  final List<DiscoveryAgent.Endpoint> endpoints = new ArrayList<>();
  final List<DiscoveryAgent> agents = new ArrayList<>();
  final List<NodeProcess> nodes = new ArrayList<>();
  private final Recorder record;
  private final CounterService counter = new CounterService();
  private final Path folder = Files.createTempDirectory("review-case");
  // takes what nodes tell all peers at once: such datagrams may arrive "late or not at all"
  private final DatagramSocket broadcast = new DatagramSocket(0,
      InetAddress.getByName("127.0.0.1"));

  Deployment(Recorder record, Path root, int appServerCount, AppServer.Work work)
      throws IOException {
    this.record = record;
    for (int i = 0; i < appServerCount; i++) startAppServer(work);
    for (int i = 0; i < NODES; i++) {
      agents.add(new DiscoveryAgent("n" + i, record, endpoints));
      nodes.add(new NodeProcess("n" + i, NodeProcess.freePort(), root, folder, record));
    }
  }

  private void startAppServer(AppServer.Work work) throws IOException {
    int number = appServers.size();
    boolean sameHall = number % 2 == 0;
    AppServer server = new AppServer("s-" + number, sameHall ? SAME_HALL_MS : OTHER_HALL_MS,
        record, work);
    appServers.add(server);
    endpoints.add(new DiscoveryAgent.Endpoint(server.name, server.address(),
        sameHall ? "hall-a" : "hall-b", number / GROUP_SIZE, "Ready", 0));
  }

  /** Starts the nodes; returns whether all of them became ready. */
  boolean start() throws IOException, InterruptedException {
    List<String> peers = new ArrayList<>();
    for (int i = 0; i < NODES; i++) peers.add("127.0.0.1:" + NodeProcess.freePort());
    for (int i = 0; i < NODES; i++) {
      nodes.get(i).start(configuration(i, peers), agents.get(i).address());
    }
    for (NodeProcess node : nodes) {
      if (!node.awaitReady()) return false;
    }
    return true;
  }

  private String configuration(int node, List<String> peers) {
    return """
        {"name":"n%d","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be96%d",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "peer_listen":"%s","peers":["%s"],"peers_all":"127.0.0.1:%d","counter":"%s",
         "known":%s,
         "settings":%s}
        """.formatted(node, nodes.get(node).port, agents.get(node).address(), node, peers.get(node),
        String.join("\",\"", peers), broadcast.getLocalPort(), counter.address(),
        agents.get(node).list(), settings(node));
  }

  private static String settings(int node) {
    return """
        {"azs":["hall-a","hall-b"],"machineTypes":["m"],"stages":["order-api"],"tier":0,
         "discovery":"automatic","family":"gate","me":%d,"peersTotal":%d,"myZone":0,"quantum":2.0,
         "weightSource":"off","clients":{"marksRetry":false},
         "report":{"fields":["throughput","backlog"],"how":"inline"},
         "categories":[
          {"name":"quote","aim":1000.0,"deadline":4000.0,"effect":"idempotent","importance":1.0,
           "keyScope":"all","lateWorth":0.0,"stream":false,"window":5000.0},
          {"name":"place-order","aim":2000.0,"deadline":8000.0,"effect":"at_most_once",
           "importance":2.0,"keyScope":"all","lateWorth":0.0,"stream":false,"window":5000.0}],
         "contracts":[
          {"name":"basic","refill":3.0,"peakUnits":14.0,"pays":1.2,"capRate":0.0,"hardBurst":0.0,
           "parallel":0,"excessCost":0.6,"overWorth":0.0,"tolerance":0.0},
          {"name":"volume","refill":18.0,"peakUnits":36.0,"pays":1.4,"capRate":36.0,
           "hardBurst":72.0,"parallel":12,"excessCost":0.6,"overWorth":0.0,"tolerance":7.2}],
         "contract":{"askWithin":10000.0,"cold":15000.0,"coldFrom":0.16,"fallMultiple":4.0,
          "graceToAnswer":8.0,"stopSendingWithin":500.0,"tipAfter":1000.0},
         "familyInfo":{"counter":true,"countLimit":30.0,"costAfter":false,"counterPrice":0.02,
          "metering":0.0,"peerInPerS":60.0,"unitsTop":8},
         "fees":{"connection":0.0,"crossZone":0.01,"discovery":0.0,"handshake":0.0,
          "lateFail":0.067,"moves":0.0,"origin":0.0,"peer":0.03,"probe":0.01,"waste":0.03},
         "goal":{"whole":0.65,"worstClass":0.0,"worstTenant":0.25,"worstWindow":0.1},
         "limits":{"cancelling":true,"connIdle":15000.0,"connectTimeout":250.0,
          "cpuUsPerRequest":0.0,"cpuUsPerS":400000,"maxRetryAfter":1000.0,"mayTell":true,
          "openCap":20000,"probing":true,"retryAfter":true,"secondCopies":true,"sendCap":6,
          "streamsPerConn":32}}""".formatted(node, NODES);
  }

  @Override
  public void close() throws IOException {
    for (NodeProcess node : nodes) node.close();
    for (AppServer server : appServers) server.close();
    for (DiscoveryAgent agent : agents) agent.close();
    counter.close();
    broadcast.close();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.delete(file);
    }
  }
}
