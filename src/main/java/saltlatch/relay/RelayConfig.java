package saltlatch.relay;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import saltlatch.distribution.RelayLimits;
import saltlatch.wire.transport.TcpConnector;

/**
 * A relay's configuration, read from one JSON object.
 *
 * @param name      how it names itself in its log
 * @param listen    where watchers connect
 * @param upstreams whom it may follow, in order of preference
 * @param limits    its bounds
 * @param seed      of the jitter of its retries
 */
public record RelayConfig(String name, SocketAddress listen, List<SocketAddress> upstreams,
    RelayLimits limits, long seed) {

  /** A configuration that can't be used; the message names the key. */
  public static final class InvalidConfigException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidConfigException(String message) {
      super(message);
    }
  }

  private static final Set<String> KEYS = Set.of("name", "listen", "upstreams", "limits", "seed");
  private static final Set<String> LIMIT_KEYS = Set.of("watchers", "entries", "log_changes",
      "snapshot_bytes_per_second");
  private static final int MAX_PORT = 65_535;

  /**
   * Bounds for keys that are left out: what seven machines need for 2,700 nodes and 34,000 entries,
   * with room.
   */
  private static final RelayLimits DEFAULTS = new RelayLimits(3_000, 65_536, 65_536,
      64L * 1024 * 1024);

  /** Reads and checks a configuration's text. */
  public static RelayConfig parse(String text) throws InvalidConfigException {
    JsonObject root = object(text);
    rejectUnknown(root, "", KEYS);
    SocketAddress listen = address(required(root, "listen"), "listen", 0);
    List<SocketAddress> upstreams = upstreams(required(root, "upstreams"));
    String name = root.has("name") ? string(root.get("name"), "name") : listen.toString();
    long seed = root.has("seed") ? integer(root.get("seed"), "seed", Long.MIN_VALUE, Long.MAX_VALUE)
        : System.nanoTime();
    return new RelayConfig(name, listen, upstreams, limits(root), seed);
  }

  private static RelayLimits limits(JsonObject root) throws InvalidConfigException {
    if (!root.has("limits")) return DEFAULTS;
    if (!root.get("limits").isJsonObject()) throw new InvalidConfigException("limits is no object");
    JsonObject limits = root.getAsJsonObject("limits");
    rejectUnknown(limits, "limits.", LIMIT_KEYS);
    return new RelayLimits((int) limit(limits, "watchers", DEFAULTS.watchers(), Integer.MAX_VALUE),
        (int) limit(limits, "entries", DEFAULTS.entries(), Integer.MAX_VALUE),
        (int) limit(limits, "log_changes", DEFAULTS.logChanges(), Integer.MAX_VALUE), limit(limits,
            "snapshot_bytes_per_second", DEFAULTS.snapshotBytesPerSecond(), Long.MAX_VALUE));
  }

  private static long limit(JsonObject limits, String key, long otherwise, long most)
      throws InvalidConfigException {
    return limits.has(key) ? integer(limits.get(key), "limits." + key, 1, most) : otherwise;
  }

  private static List<SocketAddress> upstreams(JsonElement element) throws InvalidConfigException {
    if (!element.isJsonArray())
      throw new InvalidConfigException("upstreams is no list of HOST:PORT");
    JsonArray array = element.getAsJsonArray();
    if (array.isEmpty()) throw new InvalidConfigException("upstreams is empty");
    List<SocketAddress> all = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      String key = "upstreams[" + i + "]";
      SocketAddress upstream = address(array.get(i), key, 1);
      if (all.contains(upstream)) throw new InvalidConfigException(key + " is named twice");
      all.add(upstream);
    }
    return List.copyOf(all);
  }

  private static JsonObject object(String text) throws InvalidConfigException {
    try {
      JsonElement root = JsonParser.parseString(text);
      if (root.isJsonObject()) return root.getAsJsonObject();
    } catch (JsonParseException e) {
      throw new InvalidConfigException("no JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }
    throw new InvalidConfigException("no JSON object");
  }

  private static void rejectUnknown(JsonObject from, String prefix, Set<String> known)
      throws InvalidConfigException {
    for (String key : from.keySet()) {
      if (!known.contains(key)) throw new InvalidConfigException(prefix + key + " is unknown");
    }
  }

  private static JsonElement required(JsonObject from, String key) throws InvalidConfigException {
    if (!from.has(key)) throw new InvalidConfigException(key + " is missing");
    return from.get(key);
  }

  private static String string(JsonElement element, String key) throws InvalidConfigException {
    if (element.isJsonPrimitive() && element.getAsJsonPrimitive().isString())
      return element.getAsString();
    throw new InvalidConfigException(key + " is no string");
  }

  private static SocketAddress address(JsonElement element, String key, int leastPort)
      throws InvalidConfigException {
    String text = string(element, key);
    try {
      SocketAddress address = TcpConnector.parseAddress(text);
      if (address.port() >= leastPort && address.port() <= MAX_PORT) return address;
    } catch (IllegalArgumentException e) {
      throw new InvalidConfigException(key + " is no HOST:PORT: " + text);
    }
    throw new InvalidConfigException(key + " has no port of a TCP listener: " + text);
  }

  private static long integer(JsonElement element, String key, long least, long most)
      throws InvalidConfigException {
    try {
      if (element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber()) {
        long value = element.getAsBigDecimal().longValueExact();
        if (value >= least && value <= most) return value;
      }
    } catch (ArithmeticException e) {
      throw new InvalidConfigException(key + " is no whole number");
    }
    throw new InvalidConfigException(key + " is no whole number from " + least + " to " + most);
  }
}
