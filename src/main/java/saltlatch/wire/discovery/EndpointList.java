package saltlatch.wire.discovery;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import saltlatch.api.GatewayEvent.EndpointState;
import saltlatch.wire.Excerpt;
import saltlatch.wire.transport.TcpConnector;

/**
 * An event that discovery sends on a watch: the complete list of app servers, or a change to it.
 *
 * @param series   identifies the series of indices by its start in Unix ms; 0 if not sent
 * @param index    the event's index, which grows within a series
 * @param snapshot true if {@code entries} is the complete list, false if it is a change
 * @param entries  the listed or changed app servers with their current state
 */
public record EndpointList(long series, long index, boolean snapshot, List<Entry> entries) {
  static final String ENDPOINTS_KEY = "endpoints";

  private static final String SERIES_KEY = "series";
  private static final String INDEX_KEY = "index";
  private static final String SNAPSHOT_KEY = "snapshot";
  private static final String NAME_KEY = "name";
  private static final String ADDRESS_KEY = "address";
  private static final String ZONE_KEY = "zone";
  private static final String MACHINE_TYPE_KEY = "type";
  private static final String KEY_GROUP_KEY = "group";
  private static final String STATE_KEY = "status";
  private static final String WEIGHT_KEY = "weight";
  private static final String STARTED_AT_MS_KEY = "since_ms";
  private static final double DEFAULT_WEIGHT = 1;

  /**
   * An app server as discovery describes it.
   *
   * @param address     the address to connect to; null if discovery sent none
   * @param keyGroup    the group of app servers that share stored idempotency keys
   * @param weight      the app server's capacity relative to that of other app servers
   * @param startedAtMs the app server's last start in Unix ms; 0 if not sent, which means long ago
   */
  public record Entry(String name, SocketAddress address, String zone, String machineType,
      int keyGroup, EndpointState state, double weight, long startedAtMs) {}

  /**
   * Decodes a complete event from its JSON object.
   *
   * @throws RuntimeException if the object is malformed; the message names the fault
   */
  public static EndpointList decode(JsonObject object) {
    return decode(object, new ArrayList<>(), UnaryOperator.identity());
  }

  /**
   * Decodes an event of which some entries may have been decoded before.
   *
   * @param object  the event's JSON object, with only the entries that are not decoded yet
   * @param decoded the entries decoded before; the entries of {@code object} are appended to it
   * @param intern  returns one shared instance for equal strings, to save memory
   */
  static EndpointList decode(JsonObject object, List<Entry> decoded, UnaryOperator<String> intern) {
    for (JsonElement entry : object.getAsJsonArray(ENDPOINTS_KEY))
      decoded.add(decodeEntry(entry.getAsJsonObject(), intern));
    long series = object.has(SERIES_KEY) ? object.get(SERIES_KEY).getAsLong() : 0;
    return new EndpointList(series, object.get(INDEX_KEY).getAsLong(),
        object.get(SNAPSHOT_KEY).getAsBoolean(), decoded);
  }

  static Entry decodeEntry(JsonObject object, UnaryOperator<String> intern) {
    EndpointState state = decodeState(object.get(STATE_KEY).getAsString());
    String address = textOrEmpty(object, ADDRESS_KEY);
    if (address.isEmpty() && state == EndpointState.READY) throw new IllegalArgumentException(
        "expected an address of an app server with status Ready, found none");
    return new Entry(object.get(NAME_KEY).getAsString(),
        address.isEmpty() ? null : TcpConnector.parseAddress(address),
        intern.apply(textOrEmpty(object, ZONE_KEY)),
        intern.apply(textOrEmpty(object, MACHINE_TYPE_KEY)),
        object.has(KEY_GROUP_KEY) ? object.get(KEY_GROUP_KEY).getAsInt() : 0, state,
        object.has(WEIGHT_KEY) ? object.get(WEIGHT_KEY).getAsDouble() : DEFAULT_WEIGHT,
        object.has(STARTED_AT_MS_KEY) ? object.get(STARTED_AT_MS_KEY).getAsLong() : 0);
  }

  private static EndpointState decodeState(String status) {
    return switch (status.toUpperCase(Locale.ROOT)) {
      case "READY" -> EndpointState.READY;
      case "TERMINATING" -> EndpointState.DRAINING;
      case "GONE" -> EndpointState.REMOVED;
      default -> throw new IllegalArgumentException(
          "expected status Ready, Terminating or Gone, found " + Excerpt.of(status));
    };
  }

  private static String textOrEmpty(JsonObject object, String key) {
    return object.has(key) && !object.get(key).isJsonNull() ? object.get(key).getAsString() : "";
  }
}
