package saltlatch.lab.scale;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

/**
 * The result of one repeat of a scale test at one size; a JSON line in
 * {@code docs/capacity/*.jsonl}.
 *
 * @param what   name of the measurement, such as {@code list.start}
 * @param grows  what the size counts, such as {@code app servers}
 * @param size   number of them
 * @param repeat number of the repeat, from 1
 * @param values measured values; the test states to what they refer, such as one node or one change
 * @param commit revision that was measured, with the suffix {@code -dirty} if sources were modified
 */
public record Measurement(String what, String grows, long size, int repeat,
    Map<Quantity, Double> values, String commit) {

  /** Returns one line of JSON, with the keys in a fixed order. */
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

  /** Parses a line that {@link #toJson} wrote. */
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
