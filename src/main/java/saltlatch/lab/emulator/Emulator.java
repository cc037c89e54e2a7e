package saltlatch.lab.emulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import saltlatch.history.HistoryWriter;
import saltlatch.lab.clock.LabClock;
import saltlatch.lab.plan.GroundTruth;
import saltlatch.lab.rig.LinkProxies;
import saltlatch.lab.scenario.Scenario;

/**
 * The systems that an edge node uses, emulated on loopback from one scenario: the app servers, the
 * counter, the discovery agent and the relay for datagrams between nodes. They run on one event
 * loop, which also owns {@link GroundTruth}. {@link #nodeConfig(int)} returns the JSON
 * configuration with which a node is started, as the platform would provide it.
 */
public final class Emulator {
  private final Scenario scenario;
  private final Vertx vertx;
  private final LabClock clock;
  private final GroundTruth truth = new GroundTruth();
  private final AppServers servers;
  private final CounterStub counter;
  private final LinkProxies linkProxies; // null: all links are direct
  private final String historyDir; // null: the nodes write no history
  private final PeerRelay peerRelay;
  private DiscoveryStub discovery;
  private final List<Integer> nodePeerPorts = new ArrayList<>();
  private final Map<String, Integer> linkPorts = new java.util.concurrent.ConcurrentHashMap<>();

  /** Creates an emulator with direct links and without histories. */
  public Emulator(Scenario scenario, LabClock clock) {
    this(scenario, clock, null, null, null);
  }

  /**
   * Creates an emulator.
   *
   * @param linkProxies relays for the links that faults affect, or null for direct links
   * @param history the history of the emulated app servers, or null for none
   * @param historyDir the directory for the nodes' histories, or null for none
   */
  public Emulator(Scenario scenario, LabClock clock, LinkProxies linkProxies, HistoryWriter history,
      String historyDir) {
    this.linkProxies = linkProxies;
    this.historyDir = historyDir;
    this.scenario = scenario;
    this.clock = clock;
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
        .setPreferNativeTransport(true));
    servers = new AppServers(vertx, clock, truth, scenario, history);
    counter = new CounterStub(vertx, clock, scenario.counter(), scenario.nodes());
    peerRelay = new PeerRelay(vertx, scenario, clock);
  }

  /** Starts every emulated system on its own ports; completes when all of them listen. */
  public Future<Void> start() {
    try {
      for (int i = 0; i < scenario.nodes(); i++) nodePeerPorts.add(freeUdpPort());
    } catch (IOException e) {
      return Future.failedFuture(e);
    }
    Promise<Void> started = Promise.promise();
    vertx.runOnContext(v -> servers.start().compose(x -> counter.start()).compose(x -> {
      List<int[]> serverPortsByNode = new ArrayList<>();
      for (int node = 0; node < scenario.nodes(); node++) {
        int[] ports = new int[servers.ports().size()];
        for (int i = 0; i < ports.length; i++)
          ports[i] = linkPort("n" + node, "s" + i, servers.ports().get(i));
        serverPortsByNode.add(ports);
      }
      discovery = new DiscoveryStub(vertx, clock, scenario,
          (node, server) -> serverPortsByNode.get(node)[server]);
      return discovery.start();
    }).compose(x -> peerRelay.start(nodePeerPorts)).onComplete(started));
    return started.future();
  }

  /**
   * Returns the configuration of node {@code node}: its listener on a free port, the addresses of
   * the emulated systems, its peers through the relay, the endpoint list at time 0, and settings
   * from the scenario's quota plan. The settings have one retriable request class {@code read},
   * one non-retriable request class {@code write} and one quota plan {@code plan}.
   */
  public String nodeConfig(int node) {
    return nodeConfig(node, false);
  }

  /**
   * Returns the configuration of node {@code node}, with the scenario's old quota plan if
   * {@code old} is set.
   */
  public String nodeConfig(int node, boolean old) {
    JsonObject config = new JsonObject();
    config.addProperty("name", "n" + node);
    config.addProperty("listen", "127.0.0.1:0");
    config.addProperty("discovery",
        "127.0.0.1:" + linkPort("n" + node, "discovery", discovery.port(node)));
    config.addProperty("seed", String.format("%016x", scenario.seed() * 1000 + node + 1));
    JsonObject limits = new JsonObject();
    limits.addProperty("cores", 1.0);
    limits.addProperty("memory_mb", 192);
    limits.addProperty("sockets", 1024);
    config.add("limits", limits);
    config.addProperty("peer_listen", "127.0.0.1:" + nodePeerPorts.get(node));
    JsonArray peers = new JsonArray();
    for (int port : peerRelay.peerPorts()) peers.add("127.0.0.1:" + port);
    config.add("peers", peers);
    config.addProperty("peers_all", "127.0.0.1:" + peerRelay.broadcastPort());
    config.addProperty("counter",
        "127.0.0.1:" + linkPort("n" + node, "counter", counter.ports().get(node)));
    config.add("known", discovery.known(node));
    config.add("settings", settings(node, old ? scenario.oldPlan() : scenario.plan()));
    if (scenario.peers().membership()) config.addProperty("membership", true);
    if (historyDir != null) config.addProperty("history", historyDir);
    return config.toString();
  }

  /**
   * Returns the port through which {@code from} reaches {@code to}, which itself listens on
   * {@code port}. If the links may have faults, it is the port of a relay, which is created once
   * per link.
   */
  private int linkPort(String from, String to, int port) {
    return linkProxies == null ? port
        : linkPorts.computeIfAbsent(from + ">" + to, key -> linkProxies.port(from, to, port));
  }

  private JsonObject settings(int node, Scenario.Plan plan) {
    String template = """
        {"azs":["a"],"machineTypes":["m"],"stages":["app"],"discovery":"automatic","family":"gate",
         "quantum":2.0,"clients":{"marksRetry":true},"report":{"fields":["utilization"],"how":"inline"},
         "contract":{"cold":10000,"coldFrom":0.2,"fallMultiple":3,"tipAfter":3000},
         "familyInfo":{"counter":true,"countLimit":30,"costAfter":false,"unitsTop":64},
         "limits":{"cancelling":true,"connIdle":15000,"connectTimeout":250,"maxRetryAfter":1000,"mayTell":true,
           "retryAfter":true,"sendCap":4}}""";
    JsonObject settings = JsonParser.parseString(template).getAsJsonObject();
    settings.getAsJsonObject("familyInfo").addProperty("peerInPerS", scenario.peers().intake());
    settings.addProperty("me", node);
    settings.addProperty("peersTotal", scenario.nodes());
    double idleMs = scenario.servers().idleCloseMs();
    for (Scenario.Fault fault : scenario.servers().faults()) {
      if (fault.kind().equals("idle_close"))
        idleMs = idleMs > 0 ? Math.min(idleMs, fault.idleMs()) : fault.idleMs();
    }
    if (idleMs > 0) settings.getAsJsonObject("limits").addProperty("connIdle", idleMs);
    JsonArray requestClasses = new JsonArray();
    requestClasses.add(requestClass("read", "idempotent", plan));
    requestClasses.add(requestClass("write", "none", plan));
    settings.add("categories", requestClasses);
    JsonArray quotaPlans = new JsonArray();
    JsonObject quotaPlan = new JsonObject();
    quotaPlan.addProperty("name", "plan");
    quotaPlan.addProperty("refill", plan.rate());
    quotaPlan.addProperty("peakUnits", plan.burst());
    quotaPlan.addProperty("pays", 1);
    quotaPlan.addProperty("capRate", 0);
    quotaPlan.addProperty("hardBurst", 0);
    quotaPlan.addProperty("parallel", 0);
    quotaPlans.add(quotaPlan);
    settings.add("contracts", quotaPlans);
    return settings;
  }

  private static JsonObject requestClass(String name, String effect, Scenario.Plan plan) {
    JsonObject requestClass = new JsonObject();
    requestClass.addProperty("name", name);
    requestClass.addProperty("aim", plan.aimMs());
    requestClass.addProperty("deadline", plan.deadlineMs());
    requestClass.addProperty("effect", effect);
    requestClass.addProperty("importance", 1);
    requestClass.addProperty("keyScope", "all");
    requestClass.addProperty("lateWorth", 0);
    requestClass.addProperty("stream", false);
    requestClass.addProperty("window", 5000);
    return requestClass;
  }

  /** Applies the function to {@link GroundTruth} on the emulator's event loop. */
  public <T> Future<T> read(java.util.function.Function<GroundTruth, T> reader) {
    Promise<T> result = Promise.promise();
    vertx.runOnContext(v -> result.complete(reader.apply(truth)));
    return result.future();
  }

  /** Returns the counts of the emulated systems by name, for the run file. */
  public Future<Map<String, Long>> metrics() {
    return read(unused -> {
      Map<String, Long> metrics = new LinkedHashMap<>();
      metrics.put("server_commands", servers.commands());
      metrics.put("server_spoilt", servers.spoilt());
      metrics.put("counter_calls", counter.calls());
      metrics.put("counter_bytes_in", counter.bytesIn());
      metrics.put("counter_bytes_out", counter.bytesOut());
      metrics.put("counter_held_by_silence", counter.held());
      metrics.put("counter_turned_away", counter.rejected());
      metrics.put("discovery_fetches", discovery.fetches());
      metrics.put("peer_datagrams_carried", peerRelay.sentDatagrams());
      metrics.put("peer_bytes_in", peerRelay.bytesIn());
      metrics.put("peer_bytes_out", peerRelay.bytesOut());
      metrics.put("peer_datagrams_lost", peerRelay.lostDatagrams());
      return metrics;
    });
  }

  /** Returns the app servers' ports, in the order of their names {@code s-0, s-1, ...}. */
  public List<Integer> serverPorts() {
    return servers.ports();
  }

  /** Stops every emulated system. */
  public Future<Void> stop() {
    return vertx.close();
  }

  private static int freeUdpPort() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
