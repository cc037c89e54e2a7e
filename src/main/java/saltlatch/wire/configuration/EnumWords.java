package saltlatch.wire.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import saltlatch.api.GatewaySettings.KeyScope;
import saltlatch.api.GatewaySettings.RetrySafety;
import saltlatch.configuration.SharedConfiguration.LeaseExpiryPolicy;
import saltlatch.wire.Excerpt;
import saltlatch.wire.MalformedMessageException;

/** Maps enum values to their words in the JSON format, which differ from the names in the code. */
final class EnumWords {
  private static final Map<Enum<?>, String> WORDS = Map.of(RetrySafety.IDEMPOTENT, "replayable",
      RetrySafety.IDEMPOTENT_BY_KEY, "uniqued", RetrySafety.NOT_IDEMPOTENT, "non_replayable",
      KeyScope.ALL, "all", KeyScope.ZONE, "zone", KeyScope.GROUP, "cell",
      LeaseExpiryPolicy.REJECT_REQUESTS, "deny", LeaseExpiryPolicy.DELAY_ACTIVATION, "wait");

  private EnumWords() {}

  static String word(Enum<?> value) {
    return WORDS.get(value);
  }

  /** Reads the value of a key, which must be the word of one of the given enum values. */
  static <E extends Enum<E>> E read(JsonObjectReader object, String key, E[] values)
      throws MalformedMessageException {
    String word = object.string(key);
    for (E value : values) if (word(value).equals(word)) return value;
    List<String> allowed = Arrays.stream(values).map(EnumWords::word).toList();
    throw object.malformed(key, "expected one of " + allowed + ", found " + Excerpt.quoted(word));
  }
}
