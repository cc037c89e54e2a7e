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
 * The systems an edge node serves, emulated on loopback from one scenario: app servers, the
 * counter, discovery's agent and the datagrams between nodes. All on one event loop of its own,
 * which also owns {@link GroundTruth}. {@link #nodeConfig(int)} writes the JSON configuration a
 * node is started with, as the platform would give it.
 */
public final class Emulator {
  private final Scenario s;
  private final Vertx vertx;
  private final LabClock clock;
  private final GroundTruth truth = new GroundTruth();
  private final AppServers servers;
  private final CounterStub counter;
  private final LinkProxies relays;
  private final String historyDir; // null: nodes keep none
  private final PeerRelay relay;
  private DiscoveryStub discovery;
  private final List<Integer> nodePeerPorts = new ArrayList<>();
  private final Map<String, Integer> vias = new java.util.concurrent.ConcurrentHashMap<>();

  public Emulator(Scenario s, LabClock clock) {
    this(s, clock, null, null, null);
  }

  /**
   * With relays for the links that faults touch, a history of the stand-ins, and a directory for
   * the nodes'.
   */
  public Emulator(Scenario s, LabClock clock, LinkProxies relays, HistoryWriter history,
      String historyDir) {
    this.relays = relays;
    this.historyDir = historyDir;
    this.s = s;
    this.clock = clock;
    vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
        .setPreferNativeTransport(true));
    servers = new AppServers(vertx, clock, truth, s, history);
    counter = new CounterStub(vertx, clock, s.counter(), s.nodes());
    relay = new PeerRelay(vertx, s, clock);
  }

  /** Starts every stand-in on its own port; done when all listen. Runs on the emulator's loop. */
  public Future<Void> start() {
    try {
      for (int i = 0; i < s.nodes(); i++) nodePeerPorts.add(freeUdpPort());
    } catch (IOException e) {
      return Future.failedFuture(e);
    }
    Promise<Void> done = Promise.promise();
    vertx.runOnContext(v -> servers.start().compose(x -> counter.start()).compose(x -> {
      List<int[]> reach = new ArrayList<>();
      for (int n = 0; n < s.nodes(); n++) {
        int[] to = new int[servers.ports().size()];
        for (int i = 0; i < to.length; i++) to[i] = via("n" + n, "s" + i, servers.ports().get(i));
        reach.add(to);
      }
      discovery = new DiscoveryStub(vertx, clock, s, (node, i) -> reach.get(node)[i]);
      return discovery.start();
    }).compose(x -> relay.start(nodePeerPorts)).onComplete(done));
    return done.future();
  }

  /**
   * Node {@code i}'s configuration: its listener on a free port, the stand-ins' addresses, peers
   * through the relay, the list at time 0, and settings from the scenario's plan (one replayable
   * frontend {@code read}, one non-replayable {@code write}, one plan {@code plan}).
   */
  public String nodeConfig(int i) {
    return nodeConfig(i, false);
  }

  /** The same, or the older one, which has the scenario's old plan. */
  public String nodeConfig(int i, boolean old) {
    JsonObject c = new JsonObject();
    c.addProperty("name", "n" + i);
    c.addProperty("listen", "127.0.0.1:0");
    c.addProperty("discovery", "127.0.0.1:" + via("n" + i, "discovery", discovery.port(i)));
    c.addProperty("seed", String.format("%016x", s.seed() * 1000 + i + 1));
    JsonObject limits = new JsonObject();
    limits.addProperty("cores", 1.0);
    limits.addProperty("memory_mb", 192);
    limits.addProperty("sockets", 1024);
    c.add("limits", limits);
    c.addProperty("peer_listen", "127.0.0.1:" + nodePeerPorts.get(i));
    JsonArray peers = new JsonArray();
    for (int port : relay.peerPorts()) peers.add("127.0.0.1:" + port);
    c.add("peers", peers);
    c.addProperty("peers_all", "127.0.0.1:" + relay.allPort());
    c.addProperty("counter", "127.0.0.1:" + via("n" + i, "counter", counter.ports().get(i)));
    c.add("known", discovery.known(i));
    c.add("settings", settings(i, old ? s.oldPlan() : s.plan()));
    if (s.peers().membership()) c.addProperty("membership", true);
    if (historyDir != null) c.addProperty("history", historyDir);
    return c.toString();
  }

  /** The port by which one reaches the other: a relay's where the link has faults, made once. */
  private int via(String from, String to, int port) {
    return relays == null ? port
        : vias.computeIfAbsent(from + ">" + to, k -> relays.port(from, to, port));
  }

  private JsonObject settings(int me, Scenario.Plan p) {
    String text = """
        {"azs":["a"],"machineTypes":["m"],"stages":["app"],"discovery":"automatic","family":"gate",
         "quantum":2.0,"clients":{"marksRetry":true},"report":{"fields":["utilization"],"how":"inline"},
         "contract":{"cold":10000,"coldFrom":0.2,"fallMultiple":3,"tipAfter":3000},
         "familyInfo":{"counter":true,"countLimit":30,"costAfter":false,"unitsTop":64},
         "limits":{"cancelling":true,"connIdle":15000,"connectTimeout":250,"maxRetryAfter":1000,"mayTell":true,
           "retryAfter":true,"sendCap":4}}""";
    JsonObject o = JsonParser.parseString(text).getAsJsonObject();
    o.getAsJsonObject("familyInfo").addProperty("peerInPerS", s.peers().intake());
    o.addProperty("me", me);
    o.addProperty("peersTotal", s.nodes());
    double idle = s.servers().idleCloseMs();
    for (Scenario.Fault f : s.servers().faults()) {
      if (f.kind().equals("idle_close")) idle = idle > 0 ? Math.min(idle, f.idleMs()) : f.idleMs();
    }
    if (idle > 0) o.getAsJsonObject("limits").addProperty("connIdle", idle);
    JsonArray cats = new JsonArray();
    cats.add(category("read", "idempotent", p));
    cats.add(category("write", "none", p));
    o.add("categories", cats);
    JsonArray plans = new JsonArray();
    JsonObject plan = new JsonObject();
    plan.addProperty("name", "plan");
    plan.addProperty("refill", p.rate());
    plan.addProperty("peakUnits", p.burst());
    plan.addProperty("pays", 1);
    plan.addProperty("capRate", 0);
    plan.addProperty("hardBurst", 0);
    plan.addProperty("parallel", 0);
    plans.add(plan);
    o.add("contracts", plans);
    return o;
  }

  private static JsonObject category(String name, String effect, Scenario.Plan p) {
    JsonObject c = new JsonObject();
    c.addProperty("name", name);
    c.addProperty("aim", p.aimMs());
    c.addProperty("deadline", p.deadlineMs());
    c.addProperty("effect", effect);
    c.addProperty("importance", 1);
    c.addProperty("keyScope", "all");
    c.addProperty("lateWorth", 0);
    c.addProperty("stream", false);
    c.addProperty("window", 5000);
    return c;
  }

  /** Reads the ledger on the emulator's loop. */
  public <T> Future<T> read(java.util.function.Function<GroundTruth, T> what) {
    Promise<T> out = Promise.promise();
    vertx.runOnContext(v -> out.complete(what.apply(truth)));
    return out.future();
  }

  /** The stand-ins' own counts, for the run file. */
  public Future<Map<String, Long>> metrics() {
    return read(t -> {
      Map<String, Long> m = new LinkedHashMap<>();
      m.put("server_commands", servers.commands());
      m.put("server_spoilt", servers.spoilt());
      m.put("counter_calls", counter.calls());
      m.put("counter_bytes_in", counter.bytesIn());
      m.put("counter_bytes_out", counter.bytesOut());
      m.put("counter_held_by_silence", counter.held());
      m.put("counter_turned_away", counter.turnedAway());
      m.put("discovery_fetches", discovery.fetches());
      m.put("peer_datagrams_carried", relay.carried());
      m.put("peer_bytes_in", relay.bytesIn());
      m.put("peer_bytes_out", relay.bytesOut());
      m.put("peer_datagrams_lost", relay.lost());
      return m;
    });
  }

  /** App servers' ports, in the order of their names {@code s-0, s-1, ...}. */
  public List<Integer> serverPorts() {
    return servers.ports();
  }

  public Future<Void> stop() {
    return vertx.close();
  }

  private static int freeUdpPort() throws IOException {
    try (DatagramSocket d = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return d.getLocalPort();
    }
  }
}
