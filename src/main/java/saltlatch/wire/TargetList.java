package saltlatch.wire;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import saltlatch.api.Event.Condition;

/** One message of discovery, decoded once; a target with no address is none to connect to. */
public record TargetList(long index, boolean whole, List<Target> targets) {
  public record Target(String name, SocketAddress address, String zone, String type, int group,
      Condition condition, double weight, long sinceMs) {}

  static TargetList of(String line) {
    return of(JsonParser.parseString(line).getAsJsonObject());
  }

  public static TargetList of(JsonObject o) {
    List<Target> targets = new ArrayList<>();
    for (JsonElement e : o.getAsJsonArray("endpoints")) {
      JsonObject t = e.getAsJsonObject();
      Condition condition = condition(t.get("status").getAsString());
      String address = text(t, "address");
      if (address.isEmpty() && condition == Condition.READY)
        throw new IllegalArgumentException("ready at no address");
      targets.add(new Target(t.get("name").getAsString(), address.isEmpty() ? null : Dial.address(address),
          text(t, "zone"), text(t, "type"), t.has("group") ? t.get("group").getAsInt() : 0, condition,
          t.has("weight") ? t.get("weight").getAsDouble() : 1,
          t.has("since_ms") ? t.get("since_ms").getAsLong() : 0));
    }
    return new TargetList(o.get("index").getAsLong(), o.get("snapshot").getAsBoolean(), targets);
  }

  private static Condition condition(String status) {
    return switch (status.toUpperCase(Locale.ROOT)) {
      case "READY" -> Condition.READY;
      case "TERMINATING" -> Condition.DRAINING;
      case "GONE" -> Condition.GONE;
      default -> throw new IllegalArgumentException("status " + status);
    };
  }

  private static String text(JsonObject t, String key) {
    return t.has(key) && !t.get(key).isJsonNull() ? t.get(key).getAsString() : "";
  }
}
