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
 * One watch event of discovery: the whole list of app servers, or a change of it.
 *
 * @param series   when the series of indices began, in Unix ms; 0 where discovery doesn't say
 * @param index    of this event, growing within a series
 * @param snapshot whether it is the whole list
 * @param entries  app servers as they are now
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
   * One app server as discovery names it.
   *
   * @param address     null: there is none to connect to
   * @param keyGroup    the group within which idempotency keys are remembered
   * @param weight      its capacity relative to others
   * @param startedAtMs when it last started, Unix time in ms, 0 for long ago
   */
  public record Entry(String name, SocketAddress address, String zone, String machineType,
      int keyGroup, EndpointState state, double weight, long startedAtMs) {}

  /**
   * Reads an event whose entries are all in the object.
   *
   * @throws RuntimeException the object is malformed; the text says what is wrong
   */
  public static EndpointList decode(JsonObject object) {
    return decode(object, new ArrayList<>(), UnaryOperator.identity());
  }

  /**
   * Reads an event.
   *
   * @param object  what of it stands outside the entries decoded already
   * @param decoded those entries, to which the others are added
   * @param intern  gives one instance of a recurring word
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
    if (address.isEmpty() && state == EndpointState.READY)
      throw new IllegalArgumentException("ready at no address");
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
      default -> throw new IllegalArgumentException("status " + status);
    };
  }

  private static String textOrEmpty(JsonObject object, String key) {
    return object.has(key) && !object.get(key).isJsonNull() ? object.get(key).getAsString() : "";
  }
}
