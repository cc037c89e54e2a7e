package saltlatch.settings;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * Decodes the settings, which the simulator's first message and a node's configuration hold;
 * unknown keys are skipped.
 */
public final class SettingsReader {
  private SettingsReader() {}

  public static GatewaySettings site(String text, long seed) {
    return site(JsonParser.parseString(text).getAsJsonObject(), seed);
  }

  public static GatewaySettings site(JsonObject all, long seed) {
    JsonObject limits = part(all, "limits");
    JsonObject guard = part(all, "contract");
    JsonObject family = part(all, "familyInfo");
    List<GatewaySettings.RequestClass> frontends = new ArrayList<>();
    for (JsonObject c : objects(all, "categories")) {
      frontends.add(
          new GatewaySettings.RequestClass(effect(word(c, "effect")), group(word(c, "keyScope")),
              time(c, "window"), time(c, "aim"), time(c, "deadline"), number(c, "importance")));
    }
    List<GatewaySettings.QuotaPlan> plans = new ArrayList<>();
    if (all.has("contracts")) {
      for (JsonObject c : objects(all, "contracts")) {
        plans.add(new GatewaySettings.QuotaPlan(number(c, "refill"), number(c, "peakUnits"),
            (int) number(c, "parallel"), number(c, "capRate"), number(c, "hardBurst"),
            number(c, "pays")));
      }
    }
    GatewaySettings.Limits rules = new GatewaySettings.Limits(
        word(all, "discovery").equals("subscribe"), flag(limits, "cancelling"),
        (int) number(limits, "sendCap"), flag(limits, "retryAfter"), time(limits, "maxRetryAfter"),
        flag(part(all, "clients"), "marksRetry"), time(guard, "cold"), number(guard, "coldFrom"),
        number(guard, "fallMultiple"), time(guard, "tipAfter"));
    GatewaySettings.CounterSettings counting = new GatewaySettings.CounterSettings(
        flag(family, "counter"), flag(family, "costAfter"));
    return new GatewaySettings(seed, (int) number(all, "peersTotal"), time(all, "quantum"), rules,
        counting,
        new GatewaySettings.PeerSettings((int) number(all, "me"),
            flag(limits, "mayTell") ? number(family, "peerInPerS") : 0,
            number(part(all, "fees"), "peer")),
        frontends, plans);
  }

  private static GatewaySettings.RetrySafety effect(String word) {
    return switch (word) {
      case "idempotent" -> GatewaySettings.RetrySafety.IDEMPOTENT;
      case "deduplicated" -> GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY;
      default -> GatewaySettings.RetrySafety.NOT_IDEMPOTENT;
    };
  }

  private static GatewaySettings.KeyScope group(String word) {
    return switch (word) {
      case "all" -> GatewaySettings.KeyScope.ALL;
      case "zone" -> GatewaySettings.KeyScope.ZONE;
      default -> GatewaySettings.KeyScope.GROUP;
    };
  }

  public static JsonObject part(JsonObject from, String key) {
    return from.has(key) ? typed(from, key, "object", JsonElement::getAsJsonObject)
        : new JsonObject();
  }

  private static double number(JsonObject from, String key) {
    return from.has(key) && !from.get(key).isJsonNull()
        ? typed(from, key, "number", JsonElement::getAsDouble) : 0;
  }

  private static long time(JsonObject from, String key) {
    return Ticks.ofMillis(number(from, key));
  }

  public static boolean flag(JsonObject from, String key) {
    return from.has(key) && typed(from, key, "boolean", JsonElement::getAsBoolean);
  }

  public static String word(JsonObject from, String key) {
    return from.has(key) ? typed(from, key, "word", JsonElement::getAsString) : "";
  }

  private static List<JsonObject> objects(JsonObject from, String key) {
    List<JsonObject> all = new ArrayList<>();
    return typed(from, key, "list of objects", e -> {
      e.getAsJsonArray().forEach(one -> all.add(one.getAsJsonObject()));
      return all;
    });
  }

  /** What must be there, of one type; a failure names the key. */
  public static <T> T typed(JsonObject from, String key, String type, Function<JsonElement, T> as) {
    if (!from.has(key)) throw new IllegalArgumentException(key + " is missing");
    try {
      return as.apply(from.get(key));
    } catch (RuntimeException e) {
      throw new IllegalArgumentException(key + " is no " + type);
    }
  }
}
