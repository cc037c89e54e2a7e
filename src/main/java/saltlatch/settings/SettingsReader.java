package saltlatch.settings;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.api.Ticks;

/**
 * Maps the keys of the settings to the names that the code uses; only this class contains the keys.
 * The settings are part of the simulator's first message and of a node's configuration. Unknown
 * keys are ignored.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads the policy's settings from a text.
   *
   * @param seed seed of the policy's random draws
   * @throws RuntimeException if the text is not a JSON object; {@link InvalidSettingException} if a
   *     key is missing or its value is invalid
   */
  public static GatewaySettings read(String text, long seed) {
    return read(JsonSection.parse(text), seed);
  }

  /**
   * Reads the policy's settings.
   *
   * @param seed seed of the policy's random draws
   * @throws InvalidSettingException if a key is missing or its value is invalid
   */
  public static GatewaySettings read(JsonSection settings, long seed) {
    List<GatewaySettings.RequestClass> requestClasses = new ArrayList<>();
    for (JsonSection section : settings.requiredSections("categories")) {
      requestClasses.add(requestClass(section));
    }
    List<GatewaySettings.QuotaPlan> quotaPlans = new ArrayList<>();
    if (settings.has("contracts")) {
      for (JsonSection section : settings.requiredSections("contracts")) {
        quotaPlans.add(quotaPlan(section));
      }
    }
    return new GatewaySettings(seed, (int) settings.number("peersTotal"), settings.ticks("quantum"),
        limits(settings), counter(settings), peers(settings), requestClasses, quotaPlans);
  }

  /**
   * Reads the settings that only a host with sockets needs.
   *
   * @throws InvalidSettingException if a key's value is invalid
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

  private static GatewaySettings.RequestClass requestClass(JsonSection section) {
    return new GatewaySettings.RequestClass(retrySafety(section.text("effect")),
        keyScope(section.text("keyScope")), section.ticks("window"), section.ticks("aim"),
        section.ticks("deadline"), section.number("importance"));
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

  private static GatewaySettings.QuotaPlan quotaPlan(JsonSection section) {
    return new GatewaySettings.QuotaPlan(section.number("refill"), section.number("peakUnits"),
        (int) section.number("parallel"), section.number("capRate"), section.number("hardBurst"),
        section.number("pays"));
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

  /** Converts milliseconds to ticks, rounded to the nearest tick; 0 if the key is absent. */
  private static long nearestTicks(JsonSection section, String key) {
    return Math.round(section.numberOr(key, 0) * Ticks.PER_MILLISECOND);
  }
}
