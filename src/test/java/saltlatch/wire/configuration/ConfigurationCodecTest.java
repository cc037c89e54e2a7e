package saltlatch.wire.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.QuotaPlan;
import saltlatch.api.GatewaySettings.RequestClass;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.configuration.ConfigurationVersion;
import saltlatch.configuration.LeaseRenewal;
import saltlatch.configuration.LeaseResponse;
import saltlatch.configuration.SharedConfiguration;
import saltlatch.wire.LimitExceededException;
import saltlatch.wire.MalformedMessageException;

/** Checks the JSON text of configurations, of lease renewals and of the quorum's responses. */
class ConfigurationCodecTest {
  private static final String CONFIGURATION = "{\"epoch\":3,\"number\":17,\"expired\":\"wait\","
      + "\"pins\":[\"customers\",\"plans.team\"],\"plans\":{\"free\":{\"rate\":0.0,\"burst\":0.0,"
      + "\"parallel\":0,\"ceiling_rate\":0.0,\"ceiling_burst\":0.0,\"price\":0.0},"
      + "\"team\":{\"rate\":2.5,\"burst\":10.0,\"parallel\":4,\"ceiling_rate\":9.0,"
      + "\"ceiling_burst\":18.0,\"price\":0.25}},"
      + "\"frontends\":{\"order\":{\"effect\":\"uniqued\",\"group\":\"cell\","
      + "\"remembered_ms\":60000.0,\"target_ms\":100.5,\"client_timeout_ms\":200.0,"
      + "\"value\":2.0},\"read\":{\"effect\":\"replayable\",\"group\":\"all\","
      + "\"remembered_ms\":0.0,\"target_ms\":100.0,\"client_timeout_ms\":200.0,\"value\":1.0},"
      + "\"write\":{\"effect\":\"non_replayable\",\"group\":\"zone\",\"remembered_ms\":0.0,"
      + "\"target_ms\":100.0,\"client_timeout_ms\":200.0,\"value\":1.0}},"
      + "\"limits\":{\"send_cap\":4,\"longest_pause_ms\":12.3},\"held_out\":[\"s-1\",\"s-2\"],"
      + "\"barred\":[\"7\",\"9b1f03aa\"],\"exempt\":[\"1ffffffff\"],\"roster\":[\"n0\",\"n1\"]}";

  private static SharedConfiguration configuration() {
    return new SharedConfiguration(new ConfigurationVersion(3, 17),
        Map.of("team", new QuotaPlan(2.5, 10, 4, 9, 18, 0.25), "free",
            new QuotaPlan(0, 0, 0, 0, 0, 0)),
        Map.of("read", new RequestClass(RetrySafety.IDEMPOTENT, KeyScope.ALL, 0, 1_000, 2_000, 1),
            "order",
            new RequestClass(RetrySafety.IDEMPOTENT_BY_KEY, KeyScope.GROUP, 600_000, 1_005, 2_000,
                2),
            "write",
            new RequestClass(RetrySafety.NOT_IDEMPOTENT, KeyScope.ZONE, 0, 1_000, 2_000, 1)),
        new SharedConfiguration.Limits(4, 123), new TreeSet<>(List.of("s-2", "s-1")),
        new TreeSet<>(List.of(0x9b1f03aaL, 7L)), new TreeSet<>(List.of(0x1ffffffffL)),
        new TreeSet<>(List.of("n1", "n0")), new TreeSet<>(List.of("plans.team", "customers")),
        SharedConfiguration.LeaseExpiryPolicy.DELAY_ACTIVATION);
  }

  @Test
  void encodesAndDecodesConfiguration() throws Exception {
    assertEquals(CONFIGURATION, ConfigurationCodec.encode(configuration()));
    assertEquals(configuration(), ConfigurationCodec.decode(CONFIGURATION));
  }

  /** The hash covers everything but the version, so it is the same under another version. */
  @Test
  void hashIgnoresTheVersion() {
    assertEquals("45615706b031e35e", ConfigurationCodec.hash(configuration()));
    assertEquals("45615706b031e35e",
        ConfigurationCodec.hash(configuration().withVersion(new ConfigurationVersion(4, 1))));
  }

  /** Checks which keys may be left out, and their default values. */
  @Test
  void missingKeysHaveDefaults() throws Exception {
    SharedConfiguration read = ConfigurationCodec.decode("{\"epoch\":1,\"plans\":{\"p\":{}},"
        + "\"frontends\":{\"f\":{\"effect\":\"replayable\",\"group\":\"zone\"}},\"limits\":{}}");
    assertEquals("{\"epoch\":1,\"number\":0,\"expired\":\"deny\",\"pins\":[],\"plans\":{\"p\":"
        + "{\"rate\":0.0,\"burst\":0.0,\"parallel\":0,\"ceiling_rate\":0.0,\"ceiling_burst\":0.0,"
        + "\"price\":0.0}},\"frontends\":{\"f\":{\"effect\":\"replayable\",\"group\":\"zone\","
        + "\"remembered_ms\":0.0,\"target_ms\":0.0,\"client_timeout_ms\":0.0,\"value\":0.0}},"
        + "\"limits\":{\"send_cap\":0,\"longest_pause_ms\":0.0},\"held_out\":[],\"barred\":[],"
        + "\"exempt\":[],\"roster\":[]}", ConfigurationCodec.encode(read));
  }

  @Test
  void encodesAndDecodesRenewals() throws Exception {
    assertRenewal("{\"node\":\"n1\",\"acts\":\"1.1\",\"prepared\":\"0.0\"}", new LeaseRenewal("n1",
        new ConfigurationVersion(1, 1), ConfigurationVersion.NONE, null, null));
    assertRenewal(
        "{\"node\":\"n1\",\"acts\":\"1.1\",\"prepared\":\"0.0\",\"rejected\":\"1.2\","
            + "\"reason\":\"plans.team: no\"}",
        new LeaseRenewal("n1", new ConfigurationVersion(1, 1), ConfigurationVersion.NONE,
            new ConfigurationVersion(1, 2), "plans.team: no"));
  }

  private static void assertRenewal(String text, LeaseRenewal renewal) throws Exception {
    assertEquals(text, LeaseCodec.encode(renewal));
    assertEquals(renewal, LeaseCodec.decodeRenewal(text));
  }

  @Test
  void encodesAndDecodesResponses() throws Exception {
    ConfigurationVersion version = new ConfigurationVersion(3, 16);
    assertResponse("{\"in_force\":\"3.16\"}", new LeaseResponse(version, null, null));
    assertResponse("{\"in_force\":\"3.16\",\"offered\":" + CONFIGURATION + "}",
        new LeaseResponse(version, null, configuration()));
    assertResponse("{\"in_force\":\"3.17\",\"rules\":" + CONFIGURATION + "}",
        new LeaseResponse(new ConfigurationVersion(3, 17), configuration(), null));
  }

  private static void assertResponse(String text, LeaseResponse response) throws Exception {
    assertEquals(text, LeaseCodec.encode(response));
    assertEquals(response, LeaseCodec.decodeResponse(text));
  }

  /** A text of the maximum length is decoded; a longer one is refused, whatever follows. */
  @Test
  void refusesTextBeyondTheLimit() throws Exception {
    String longest = CONFIGURATION + " ".repeat((1 << 20) - CONFIGURATION.length());
    assertEquals(configuration(), ConfigurationCodec.decode(longest));
    LimitExceededException exception = assertThrows(LimitExceededException.class,
        () -> ConfigurationCodec.decode(longest + " "));
    assertEquals("configuration: 1048577 characters (limit 1048576 characters)",
        exception.getMessage());
  }

  /**
   * Guards against a key or value that an operator has misspelt: if the text were accepted, a plan
   * would silently have another limit. The failure names the key.
   */
  @Test
  void rejectsMisspeltKeysAndValues() throws Exception {
    SharedConfiguration configuration = configuration();
    assertEquals(configuration,
        ConfigurationCodec.decode(ConfigurationCodec.encode(configuration)));
    Map<String, String> misspellings = Map.of("\"plans\"", "\"plan\"", "\"burst\":10.0",
        "\"burst\":\"x\"", "\"replayable\"", "\"maybe\"", "\"9b1f03aa\"", "\"nobody\"",
        "\"send_cap\":4", "\"send_cap\":4.5");
    List<String> messages = new ArrayList<>();
    misspellings.forEach((original, misspelling) -> {
      MalformedMessageException exception = assertThrows(MalformedMessageException.class,
          () -> ConfigurationCodec.decode(CONFIGURATION.replace(original, misspelling)));
      assertEquals(exception.getMessage(), exception.location() + ": " + exception.problem());
      messages.add(exception.getMessage());
    });
    messages.sort(null);
    assertEquals(List.of(
        "barred: expected a customer as a hexadecimal number of 64 bits, found \"nobody\"",
        "frontends.read.effect: expected one of [replayable, uniqued, non_replayable], "
            + "found \"maybe\"",
        "limits.send_cap: expected an integer of at most 9007199254740992, found 4.5",
        "plan: unknown key, expected one of [epoch, number, expired, pins, plans, frontends, limits, "
            + "held_out, barred, exempt, roster]",
        "plans.team.burst: expected a number, found \"x\""), messages);
  }

  /** Each kind of problem is reported with its key. */
  @Test
  void reportsEachProblemWithItsKey() {
    assertMalformed("document: expected JSON: ", "{\"epoch\":");
    assertMalformed("document: expected an object, found an array", "[]");
    assertMalformed("limits: expected a value, found none",
        CONFIGURATION.replaceFirst("\"limits\":\\{[^}]*}", "\"limits\":null"));
    assertMalformed("epoch: expected a finite number of at least 0, found -3",
        CONFIGURATION.replace("\"epoch\":3", "\"epoch\":-3"));
    assertMalformed("number: expected an integer of at most 9007199254740992, found 1.0E99",
        CONFIGURATION.replace("17,", "1e99,"));
    assertMalformed("plans.team: expected an object, found 5",
        CONFIGURATION.replaceFirst("\"team\":\\{[^}]*}", "\"team\":5"));
    assertMalformed("expired: expected a string, found 1", CONFIGURATION.replace("\"wait\"", "1"));
    assertMalformed("roster: expected an array of strings, found \"n0\"",
        CONFIGURATION.replace("[\"n0\",\"n1\"]", "\"n0\""));
    assertMalformed("roster: expected only strings in the array, found 1",
        CONFIGURATION.replace("[\"n0\",\"n1\"]", "[1]"));
  }

  private static void assertMalformed(String message, String text) {
    String actual = assertThrows(MalformedMessageException.class,
        () -> ConfigurationCodec.decode(text), message).getMessage();
    assertEquals(message, actual.substring(0, Math.min(message.length(), actual.length())));
  }
}
