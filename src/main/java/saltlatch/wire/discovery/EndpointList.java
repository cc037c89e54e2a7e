package saltlatch.wire.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.wire.transport.TcpConnector;

/**
 * One message of discovery, decoded once; a target with no address is none to connect to.
 * {@code series}: when the series of indices began, in Unix ms; 0 where discovery doesn't say.
 */
public record EndpointList(long series, long index, boolean snapshot, List<Entry> entries) {
  /**
   * One app server as discovery names it.
   *
   * @param address null: there is none to connect to
   * @param keyGroup   the group within which idempotency keys are remembered
   * @param weight  its capacity relative to others
   * @param startedAtMs when it last started, Unix time in ms, 0 for long ago
   */
  public record Entry(String name, SocketAddress address, String zone, String machineType,
      int keyGroup, EndpointState state, double weight, long startedAtMs) {}

  public static EndpointList decode(JsonObject o) {
    return decode(o, new ArrayList<>(), UnaryOperator.identity());
  }

  /**
   * What stands outside entries, and the entries decoded already; {@code word}: gives words that
   * recur.
   */
  static EndpointList decode(JsonObject o, List<Entry> decoded, UnaryOperator<String> word) {
    for (JsonElement e : o.getAsJsonArray("endpoints"))
      decoded.add(target(e.getAsJsonObject(), word));
    long series = o.has("series") ? o.get("series").getAsLong() : 0;
    return new EndpointList(series, o.get("index").getAsLong(), o.get("snapshot").getAsBoolean(),
        decoded);
  }

  static Entry target(JsonObject t, UnaryOperator<String> word) {
    EndpointState condition = condition(t.get("status").getAsString());
    String address = text(t, "address");
    if (address.isEmpty() && condition == EndpointState.READY)
      throw new IllegalArgumentException("ready at no address");
    return new Entry(t.get("name").getAsString(),
        address.isEmpty() ? null : TcpConnector.parseAddress(address), word.apply(text(t, "zone")),
        word.apply(text(t, "type")), t.has("group") ? t.get("group").getAsInt() : 0, condition,
        t.has("weight") ? t.get("weight").getAsDouble() : 1,
        t.has("since_ms") ? t.get("since_ms").getAsLong() : 0);
  }

  private static EndpointState condition(String status) {
    return switch (status.toUpperCase(Locale.ROOT)) {
      case "READY" -> EndpointState.READY;
      case "TERMINATING" -> EndpointState.DRAINING;
      case "GONE" -> EndpointState.REMOVED;
      default -> throw new IllegalArgumentException("status " + status);
    };
  }

  private static String text(JsonObject t, String key) {
    return t.has(key) && !t.get(key).isJsonNull() ? t.get(key).getAsString() : "";
  }
}
