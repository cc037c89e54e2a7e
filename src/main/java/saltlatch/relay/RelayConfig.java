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
import java.util.TreeSet;
import saltlatch.distribution.RelayLimits;
import saltlatch.wire.transport.TcpConnector;

/**
 * A relay's configuration, read from one JSON object.
 *
 * @param name      the relay's name in its log
 * @param listen    the address that watchers connect to
 * @param upstreams the upstreams that the relay may follow, in order of preference
 * @param limits    the relay's limits
 * @param seed      the seed of the retry jitter
 */
public record RelayConfig(String name, SocketAddress listen, List<SocketAddress> upstreams,
    RelayLimits limits, long seed) {

  /** Thrown if a configuration is invalid; the message names the key. */
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
  private static final int MAX_EXCERPT_LENGTH = 100; // characters of a value in a message

  /**
   * Limits for keys that are left out. They suffice, with room to spare, for each of seven relay
   * machines that together serve 2,700 nodes and 34,000 entries.
   */
  private static final RelayLimits DEFAULTS = new RelayLimits(3_000, 65_536, 65_536,
      64L * 1024 * 1024);

  /** Parses and validates a configuration. */
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
    if (!root.get("limits").isJsonObject()) throw new InvalidConfigException(
        "limits must be an object, found " + excerpt(root.get("limits")));
    JsonObject limits = root.getAsJsonObject("limits");
    rejectUnknown(limits, "limits.", LIMIT_KEYS);
    return new RelayLimits((int) limit(limits, "watchers", DEFAULTS.watchers(), Integer.MAX_VALUE),
        (int) limit(limits, "entries", DEFAULTS.entries(), Integer.MAX_VALUE),
        (int) limit(limits, "log_changes", DEFAULTS.logChanges(), Integer.MAX_VALUE), limit(limits,
            "snapshot_bytes_per_second", DEFAULTS.snapshotBytesPerSecond(), Long.MAX_VALUE));
  }

  private static long limit(JsonObject limits, String key, long defaultValue, long max)
      throws InvalidConfigException {
    return limits.has(key) ? integer(limits.get(key), "limits." + key, 1, max) : defaultValue;
  }

  private static List<SocketAddress> upstreams(JsonElement element) throws InvalidConfigException {
    if (!element.isJsonArray()) throw new InvalidConfigException(
        "upstreams must be a list of HOST:PORT, found " + excerpt(element));
    JsonArray array = element.getAsJsonArray();
    if (array.isEmpty()) throw new InvalidConfigException(
        "upstreams must name at least one HOST:PORT, found an empty list");
    List<SocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      String key = "upstreams[" + i + "]";
      SocketAddress upstream = address(array.get(i), key, 1);
      if (addresses.contains(upstream)) throw new InvalidConfigException(
          key + " repeats an earlier address: " + excerpt(array.get(i)));
      addresses.add(upstream);
    }
    return List.copyOf(addresses);
  }

  private static JsonObject object(String text) throws InvalidConfigException {
    try {
      JsonElement root = JsonParser.parseString(text);
      if (root.isJsonObject()) return root.getAsJsonObject();
      throw new InvalidConfigException("expected a JSON object, found " + excerpt(root));
    } catch (JsonParseException e) {
      throw new InvalidConfigException(
          "not valid JSON: " + e.getMessage().lines().findFirst().orElse(""));
    }
  }

  private static void rejectUnknown(JsonObject from, String prefix, Set<String> known)
      throws InvalidConfigException {
    for (String key : from.keySet()) {
      if (!known.contains(key)) throw new InvalidConfigException(
          prefix + key + " is unknown, expected one of " + new TreeSet<>(known));
    }
  }

  private static JsonElement required(JsonObject from, String key) throws InvalidConfigException {
    if (!from.has(key)) throw new InvalidConfigException(key + " is missing");
    return from.get(key);
  }

  private static String string(JsonElement element, String key) throws InvalidConfigException {
    if (element.isJsonPrimitive() && element.getAsJsonPrimitive().isString())
      return element.getAsString();
    throw new InvalidConfigException(key + " must be a string, found " + excerpt(element));
  }

  private static SocketAddress address(JsonElement element, String key, int minPort)
      throws InvalidConfigException {
    String text = string(element, key);
    try {
      SocketAddress address = TcpConnector.parseAddress(text);
      if (address.port() >= minPort && address.port() <= MAX_PORT) return address;
    } catch (IllegalArgumentException e) {
      throw new InvalidConfigException(key + " must be HOST:PORT, found " + excerpt(element));
    }
    throw new InvalidConfigException(key + " must have a port from " + minPort + " to " + MAX_PORT
        + ", found " + excerpt(element));
  }

  private static long integer(JsonElement element, String key, long min, long max)
      throws InvalidConfigException {
    try {
      if (element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber()) {
        long value = element.getAsBigDecimal().longValueExact();
        if (value >= min && value <= max) return value;
      }
    } catch (ArithmeticException e) {
      throw new InvalidConfigException(key + " must be an integer, found " + excerpt(element));
    }
    throw new InvalidConfigException(
        key + " must be an integer from " + min + " to " + max + ", found " + excerpt(element));
  }

  private static String excerpt(JsonElement value) {
    String json = value.toString();
    return json.length() <= MAX_EXCERPT_LENGTH ? json
        : json.substring(0, MAX_EXCERPT_LENGTH) + "...";
  }
}
