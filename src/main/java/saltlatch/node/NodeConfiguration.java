package saltlatch.node;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import saltlatch.api.GatewaySettings;
import saltlatch.settings.SettingsReader;
import saltlatch.state.ClientRequest;
import saltlatch.wire.discovery.EndpointList;
import saltlatch.wire.transport.TcpConnector;

/**
 * Where this node stands and what it may use, decoded once from its configuration. Times are tenths
 * of a ms.
 */
public record NodeConfiguration(String name, SocketAddress listen, SocketAddress discovery,
    SocketAddress counter, SocketAddress peerListen, List<SocketAddress> peers,
    SocketAddress peersAll, Path history, boolean membership, int memoryMb, int descriptors,
    long connectTime, long idleTime, long countLimit, boolean mayTell, double mostUnits,
    List<String> loadFields, List<String> frontends, List<String> plans, List<String> zones,
    List<String> types, EndpointList known, GatewaySettings site) {

  // the JVM's own, the counter's, discovery, listening, just accepted
  private static final int OWN_DESCRIPTORS = 72;
  private static final int LEAST_DESCRIPTORS = OWN_DESCRIPTORS + 64;

  /**
   * Connections that clients may have open: a third of all descriptors for reqs, half as many that
   * say nothing yet.
   */
  int clientLinks() {
    return Math.min(descriptors / 2, (descriptors - OWN_DESCRIPTORS) * 3 / 5);
  }

  int appSrvLinks() {
    return descriptors - OWN_DESCRIPTORS - clientLinks();
  }

  /**
   * Whether the settings know such a req. Guards against a customer's count that a stranger's huge
   * amount fills.
   */
  boolean allows(ClientRequest req, int frontend, int plan) {
    if (frontend < 0 || plan < 0) return false;
    GatewaySettings.RetrySafety effect = site.requestClasses().get(frontend).retrySafety();
    return req.units() <= mostUnits && req.nodeCount() <= site.nodeCount()
        && req.firstNode() < Math.max(1, site.nodeCount())
        && req.query() == (effect == GatewaySettings.RetrySafety.IDEMPOTENT)
        && (req.hasIdempotencyKey() || effect != GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY);
  }

  /**
   * Decodes a configuration's JSON text.
   *
   * @throws RuntimeException naming the key that is missing or wrong
   */
  public static NodeConfiguration of(String text) {
    JsonObject all = JsonParser.parseString(text).getAsJsonObject();
    for (String key : List.of("name", "seed", "listen", "discovery", "settings", "limits",
        "known")) {
      if (!all.has(key)) throw new IllegalArgumentException(key + " is missing");
    }
    JsonObject settings = SettingsReader.part(all, "settings");
    JsonObject use = SettingsReader.part(settings, "limits");
    JsonObject limits = SettingsReader.part(all, "limits");
    int descriptors = SettingsReader.typed(limits, "sockets", "number", JsonElement::getAsInt);
    if (descriptors < LEAST_DESCRIPTORS) throw new IllegalArgumentException(
        "limits.sockets " + descriptors + " below " + LEAST_DESCRIPTORS);
    List<SocketAddress> peers = words(all, "peers").stream().map(TcpConnector::parseAddress)
        .toList();
    boolean membership = SettingsReader.flag(all, "membership");
    long seed = SettingsReader.typed(all, "seed", "hexadecimal number",
        e -> Long.parseUnsignedLong(e.getAsString(), 16));
    GatewaySettings site = SettingsReader.site(settings, seed);
    if (membership && (site.peers().datagramsPerSecond() <= 0 || peers.size() != site.nodeCount()
        || !all.has("peer_listen"))) {
      throw new IllegalArgumentException(
          "membership wants peer_listen, an address in peers for each of the " + site.nodeCount()
              + " nodes, and mayTell with peerInPerS above 0");
    }
    return new NodeConfiguration(SettingsReader.word(all, "name"), address(all, "listen"),
        address(all, "discovery"), address(all, "counter"), address(all, "peer_listen"), peers,
        address(all, "peers_all"),
        all.has("history") ? Path.of(all.get("history").getAsString()) : null, membership,
        SettingsReader.typed(limits, "memory_mb", "number", JsonElement::getAsInt), descriptors,
        time(use, "connectTimeout"), time(use, "connIdle"),
        time(SettingsReader.part(settings, "familyInfo"), "countLimit"),
        SettingsReader.flag(use, "mayTell"),
        most(SettingsReader.part(settings, "familyInfo"), "unitsTop"),
        words(SettingsReader.part(settings, "report"), "fields"), names(settings, "categories"),
        names(settings, "contracts"), words(settings, "azs"), words(settings, "machineTypes"),
        SettingsReader.typed(all, "known", "list of app servers",
            e -> EndpointList.decode(e.getAsJsonObject())),
        site);
  }

  private static long time(JsonObject from, String key) {
    return from.has(key)
        ? Math.round(SettingsReader.typed(from, key, "number", JsonElement::getAsDouble) * 10) : 0;
  }

  private static double most(JsonObject from, String key) {
    return from.has(key) ? SettingsReader.typed(from, key, "number", JsonElement::getAsDouble)
        : Double.MAX_VALUE;
  }

  private static List<String> names(JsonObject from, String key) {
    return all(from, key,
        e -> SettingsReader.typed(e.getAsJsonObject(), "name", "word", JsonElement::getAsString));
  }

  private static List<String> words(JsonObject from, String key) {
    return all(from, key, JsonElement::getAsString);
  }

  private static List<String> all(JsonObject from, String key, Function<JsonElement, String> each) {
    List<String> all = new ArrayList<>();
    if (from.has(key)) SettingsReader.typed(from, key, "list", e -> {
      e.getAsJsonArray().forEach(one -> all.add(each.apply(one)));
      return all;
    });
    return all;
  }

  private static SocketAddress address(JsonObject from, String key) {
    if (!from.has(key) || from.get(key).isJsonNull()) return null;
    return SettingsReader.typed(from, key, "address",
        e -> TcpConnector.parseAddress(e.getAsString()));
  }
}
