package saltlatch.lab.hollow;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/**
 * The configuration of one edge node, hollow or real, of a laboratory fleet. It is modeled on
 * {@code deploy/sample.json}. The configurations of a fleet differ only by the node's number.
 *
 * @param number     number of the node, from 0; its name is {@code nNUMBER}
 * @param nodes      number of nodes in the fleet
 * @param discovery  {@code HOST:PORT} of the discovery server or relay that sends the list
 * @param membership whether membership is on; each node then has a datagram port
 * @param peerPort   datagram port of node 0; the other nodes use the ports after it
 * @param plans      number of quota plans in the settings
 */
public record NodeConfig(int number, int nodes, String discovery, boolean membership, int peerPort,
    int plans) {
  /** Default datagram port of node 0, below the kernel's range for outgoing connections. */
  public static final int PEER_PORT = 20_000;
  // the same limit as in the laboratory's scenarios
  private static final int PEER_DATAGRAMS_PER_SECOND = 60;
  private static final String TEMPLATE = """
      {"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
       "known":{"index":0,"snapshot":true,"endpoints":[]},
       "settings":{
        "azs":["a","b","c","d","e","f","g","h","i"],"machineTypes":["m2"],"stages":["app"],
        "discovery":"automatic","family":"gate","quantum":2.0,"clients":{"marksRetry":true},
        "report":{"fields":["utilization"],"how":"inline"},
        "categories":[{"name":"read","aim":1000,"deadline":3000,"effect":"idempotent","importance":1,
          "keyScope":"all","lateWorth":0,"stream":false,"window":5000}],
        "contract":{"cold":10000,"coldFrom":0.2,"fallMultiple":3,"tipAfter":3000},
        "familyInfo":{"counter":true,"countLimit":30,"costAfter":false,"unitsTop":4},
        "limits":{"cancelling":true,"connIdle":15000,"connectTimeout":250,"maxRetryAfter":1000,"mayTell":true,
          "retryAfter":true,"sendCap":4}}}""";

  /** Returns a configuration with one plan and without membership. */
  public static NodeConfig of(int number, int nodes, String discovery) {
    return new NodeConfig(number, nodes, discovery, false, PEER_PORT, 1);
  }

  /** Returns a copy with membership on or off. */
  public NodeConfig withMembership(boolean on) {
    return new NodeConfig(number, nodes, discovery, on, peerPort, plans);
  }

  /** Returns a copy with {@code count} quota plans in the settings. */
  public NodeConfig withPlans(int count) {
    return new NodeConfig(number, nodes, discovery, membership, peerPort, count);
  }

  /** Returns the name of the node with this number. */
  public static String name(int number) {
    return "n" + number;
  }

  /** Returns the JSON text that {@code serve} reads; the node listens on any free port. */
  public String json() {
    JsonObject config = JsonParser.parseString(TEMPLATE).getAsJsonObject();
    config.addProperty("name", name(number));
    config.addProperty("listen", "127.0.0.1:0");
    config.addProperty("discovery", discovery);
    config.addProperty("seed", String.format("%016x", number + 1));
    JsonObject settings = config.getAsJsonObject("settings");
    settings.addProperty("me", number);
    settings.addProperty("peersTotal", nodes);
    JsonArray contracts = new JsonArray();
    for (int i = 0; i < plans; i++) contracts.add(plan(i));
    settings.add("contracts", contracts);
    if (membership) addPeers(config);
    return config.toString();
  }

  private static JsonObject plan(int number) {
    JsonObject plan = new JsonObject();
    plan.addProperty("name", "plan-" + number);
    plan.addProperty("refill", 1);
    plan.addProperty("peakUnits", 6);
    plan.addProperty("pays", 1);
    plan.addProperty("capRate", 0);
    plan.addProperty("hardBurst", 0);
    plan.addProperty("parallel", 0);
    return plan;
  }

  private void addPeers(JsonObject config) {
    JsonArray peers = new JsonArray();
    for (int i = 0; i < nodes; i++) peers.add("127.0.0.1:" + (peerPort + i));
    config.add("peers", peers);
    config.addProperty("peer_listen", "127.0.0.1:" + (peerPort + number));
    config.addProperty("membership", true);
    config.getAsJsonObject("settings").getAsJsonObject("familyInfo").addProperty("peerInPerS",
        PEER_DATAGRAMS_PER_SECOND);
  }
}
