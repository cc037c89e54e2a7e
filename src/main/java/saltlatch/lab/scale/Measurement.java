package saltlatch.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * One repeat of one scale test at one size, a JSON line in {@code docs/capacity/*.jsonl}.
 *
 * @param what   the test, such as {@code list.start}
 * @param grows  what grows, such as {@code app servers}
 * @param size   how many of it
 * @param repeat from 1
 * @param values what was measured, for each unit in which the test counts (per node, per change:
 *     the test says so)
 * @param commit the text measured, {@code -dirty} behind it where the tree had changes
 */
public record Measurement(String what, String grows, long size, int repeat,
    Map<Quantity, Double> values, String commit) {

  /** One line of JSON, keys in a fixed order. */
  public String toJson() {
    JsonObject line = new JsonObject();
    line.addProperty("what", what);
    line.addProperty("grows", grows);
    line.addProperty("size", size);
    line.addProperty("repeat", repeat);
    new EnumMap<>(values).forEach((quantity, value) -> line.addProperty(key(quantity), value));
    line.addProperty("commit", commit);
    return line.toString();
  }

  /** Reads a line of {@link #toJson}. */
  public static Measurement parse(String text) {
    JsonObject line = JsonParser.parseString(text).getAsJsonObject();
    Map<Quantity, Double> values = new EnumMap<>(Quantity.class);
    for (Quantity quantity : Quantity.values()) {
      if (line.has(key(quantity))) values.put(quantity, line.get(key(quantity)).getAsDouble());
    }
    return new Measurement(line.get("what").getAsString(), line.get("grows").getAsString(),
        line.get("size").getAsLong(), line.get("repeat").getAsInt(), values,
        line.get("commit").getAsString());
  }

  private static String key(Quantity quantity) {
    return quantity.name().toLowerCase(Locale.ROOT);
  }
}
