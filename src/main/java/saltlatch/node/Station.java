package saltlatch.node;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import saltlatch.api.Site;
import saltlatch.simhost.Reader;
import saltlatch.wire.Request;
import saltlatch.wire.TargetList;

/** Where this node stands and what it may use, decoded once from its configuration. Times are tenths of a ms. */
record Station(String name, SocketAddress listen, SocketAddress discovery, SocketAddress counter,
    SocketAddress peerListen, List<SocketAddress> peers, SocketAddress peersAll, Path history, boolean membership, int memoryMb, int descriptors,
    long connectTime, long idleTime, long countLimit, boolean mayTell, double mostUnits,
    List<String> loadFields, List<String> frontends,
    List<String> plans, List<String> zones, List<String> types, TargetList known, Site site) {

  private static final int OWN_DESCRIPTORS = 72; // the JVM's own, the counter's, discovery, listening, just accepted
  private static final int LEAST_DESCRIPTORS = OWN_DESCRIPTORS + 64;

  /** Connections that clients may have open: a third of all descriptors for reqs, half as many that say nothing yet. */
  int clientLinks() {
    return Math.min(descriptors / 2, (descriptors - OWN_DESCRIPTORS) * 3 / 5);
  }

  int appSrvLinks() {
    return descriptors - OWN_DESCRIPTORS - clientLinks();
  }

  /** Whether the settings know such a req. Guards against a customer's count that a stranger's huge amount fills. */
  boolean allows(Request req, int frontend, int plan) {
    if (frontend < 0 || plan < 0) return false;
    Site.Effect effect = site.frontends().get(frontend).effect();
    return req.units <= mostUnits && req.width <= site.nodes() && req.first < Math.max(1, site.nodes())
        && req.query == (effect == Site.Effect.REPLAYABLE) && (req.keyed || effect != Site.Effect.UNIQUED);
  }

  static Station of(String text) {
    JsonObject all = JsonParser.parseString(text).getAsJsonObject();
    JsonObject settings = all.getAsJsonObject("settings");
    JsonObject use = settings.getAsJsonObject("limits");
    JsonObject limits = all.getAsJsonObject("limits");
    for (String key : List.of("listen", "discovery")) {
      if (!all.has(key)) throw new IllegalArgumentException(key + " is missing");
    }
    int descriptors = limits.get("sockets").getAsInt();
    if (descriptors < LEAST_DESCRIPTORS) throw new IllegalArgumentException("limits.sockets " + descriptors + " below "
        + LEAST_DESCRIPTORS);
    List<SocketAddress> peers = words(all, "peers").stream().map(Station::address).toList();
    boolean membership = Reader.flag(all, "membership");
    Site site = Reader.site(settings, Long.parseUnsignedLong(all.get("seed").getAsString(), 16));
    if (membership && (site.peers().intake() <= 0 || peers.size() != site.nodes() || !all.has("peer_listen"))) {
      throw new IllegalArgumentException("membership wants peer_listen, an address in peers for each of the "
          + site.nodes() + " nodes, and mayTell with peerInPerS above 0");
    }
    return new Station(all.get("name").getAsString(), address(all, "listen"), address(all, "discovery"),
        address(all, "counter"), address(all, "peer_listen"), peers, address(all, "peers_all"),
        all.has("history") ? Path.of(all.get("history").getAsString()) : null,
        membership, limits.get("memory_mb").getAsInt(), descriptors,
        time(use, "connectTimeout"), time(use, "connIdle"), time(Reader.part(settings, "familyInfo"), "countLimit"),
        Reader.flag(use, "mayTell"), most(Reader.part(settings, "familyInfo"), "unitsTop"),
        words(Reader.part(settings, "report"), "fields"),
        names(settings.getAsJsonArray("categories")), names(settings.getAsJsonArray("contracts")),
        words(settings, "azs"), words(settings, "machineTypes"),
        TargetList.of(all.getAsJsonObject("known")),
        site);
  }

  private static long time(JsonObject from, String key) {
    return from.has(key) ? Math.round(from.get(key).getAsDouble() * 10) : 0;
  }

  private static double most(JsonObject from, String key) {
    return from.has(key) ? from.get(key).getAsDouble() : Double.MAX_VALUE;
  }

  private static List<String> names(JsonArray from) {
    List<String> names = new ArrayList<>();
    if (from != null) from.forEach(e -> names.add(e.getAsJsonObject().get("name").getAsString()));
    return names;
  }

  private static List<String> words(JsonObject from, String key) {
    List<String> words = new ArrayList<>();
    if (from.has(key)) from.getAsJsonArray(key).forEach(e -> words.add(e.getAsString()));
    return words;
  }

  private static SocketAddress address(JsonObject from, String key) {
    return from.has(key) && !from.get(key).isJsonNull() ? address(from.get(key).getAsString()) : null;
  }

  static SocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return SocketAddress.inetSocketAddress(Integer.parseInt(text.substring(colon + 1)), text.substring(0, colon));
  }
}
