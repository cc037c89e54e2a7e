package saltlatch.settings;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.api.Ticks;

/**
 * Maps the settings' keys to the field's terms; the only class that knows them. The settings stand
 * in the simulator's first message and in a node's configuration. Unknown keys are skipped.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads what the policy needs from a text.
   *
   * @throws RuntimeException for a text that is no JSON object, {@link InvalidSettingException} for
   *     a key whose value can't be used
   */
  public static GatewaySettings read(String text, long seed) {
    return read(JsonSection.parse(text), seed);
  }

  /**
   * Reads what the policy needs.
   *
   * @throws InvalidSettingException for a key whose value can't be used
   */
  public static GatewaySettings read(JsonSection settings, long seed) {
    List<GatewaySettings.RequestClass> requestClasses = new ArrayList<>();
    for (JsonSection each : settings.requiredSections("categories")) {
      requestClasses.add(requestClass(each));
    }
    List<GatewaySettings.QuotaPlan> quotaPlans = new ArrayList<>();
    if (settings.has("contracts")) {
      for (JsonSection each : settings.requiredSections("contracts")) {
        quotaPlans.add(quotaPlan(each));
      }
    }
    return new GatewaySettings(seed, (int) settings.number("peersTotal"), settings.ticks("quantum"),
        limits(settings), counter(settings), peers(settings), requestClasses, quotaPlans);
  }

  /**
   * Reads what a host with sockets needs.
   *
   * @throws InvalidSettingException for a key whose value can't be used
   */
  public static HostSettings readHostSettings(JsonSection settings) {
    JsonSection limits = settings.section("limits");
    JsonSection family = settings.section("familyInfo");
    return new HostSettings(nearestTicks(limits, "connectTimeout"),
        nearestTicks(limits, "connIdle"), nearestTicks(family, "countLimit"),
        limits.flag("mayTell"), family.numberOr("unitsTop", Double.MAX_VALUE),
        settings.section("report").texts("fields"), settings.namesOf("categories"),
        settings.namesOf("contracts"), settings.texts("azs"), settings.texts("machineTypes"));
  }

  private static GatewaySettings.RequestClass requestClass(JsonSection from) {
    return new GatewaySettings.RequestClass(retrySafety(from.text("effect")),
        keyScope(from.text("keyScope")), from.ticks("window"), from.ticks("aim"),
        from.ticks("deadline"), from.number("importance"));
  }

  private static RetrySafety retrySafety(String text) {
    return switch (text) {
      case "idempotent" -> RetrySafety.IDEMPOTENT;
      case "deduplicated" -> RetrySafety.IDEMPOTENT_BY_KEY;
      default -> RetrySafety.NOT_IDEMPOTENT;
    };
  }

  private static KeyScope keyScope(String text) {
    return switch (text) {
      case "all" -> KeyScope.ALL;
      case "zone" -> KeyScope.ZONE;
      default -> KeyScope.GROUP;
    };
  }

  private static GatewaySettings.QuotaPlan quotaPlan(JsonSection from) {
    return new GatewaySettings.QuotaPlan(from.number("refill"), from.number("peakUnits"),
        (int) from.number("parallel"), from.number("capRate"), from.number("hardBurst"),
        from.number("pays"));
  }

  private static GatewaySettings.Limits limits(JsonSection settings) {
    JsonSection limits = settings.section("limits");
    JsonSection warmUp = settings.section("contract");
    return new GatewaySettings.Limits(settings.text("discovery").equals("subscribe"),
        limits.flag("cancelling"), (int) limits.number("sendCap"), limits.flag("retryAfter"),
        limits.ticks("maxRetryAfter"), settings.section("clients").flag("marksRetry"),
        warmUp.ticks("cold"), warmUp.number("coldFrom"), warmUp.number("fallMultiple"),
        warmUp.ticks("tipAfter"));
  }

  private static GatewaySettings.CounterSettings counter(JsonSection settings) {
    JsonSection family = settings.section("familyInfo");
    return new GatewaySettings.CounterSettings(family.flag("counter"), family.flag("costAfter"));
  }

  private static GatewaySettings.PeerSettings peers(JsonSection settings) {
    boolean gossipAllowed = settings.section("limits").flag("mayTell");
    return new GatewaySettings.PeerSettings((int) settings.number("me"),
        gossipAllowed ? settings.section("familyInfo").number("peerInPerS") : 0,
        settings.section("fees").number("peer"));
  }

  private static long nearestTicks(JsonSection from, String key) {
    return Math.round(from.numberOr(key, 0) * Ticks.PER_MILLISECOND);
  }
}
