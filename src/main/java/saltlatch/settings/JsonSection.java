package saltlatch.settings;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import saltlatch.api.Ticks;

/**
 * One object of a JSON text with typed access to its keys. Every failure is an
 * {@link InvalidSettingException} that names the key. Immutable as long as nobody changes the JSON
 * behind it.
 */
public final class JsonSection {
  private final JsonObject json;

  private JsonSection(JsonObject json) {
    this.json = json;
  }

  /**
   * Parses a text that is one object.
   *
   * @throws RuntimeException from the parser, if the text is not
   */
  public static JsonSection parse(String text) {
    return new JsonSection(JsonParser.parseString(text).getAsJsonObject());
  }

  /** Whether the key is there, be its value null. */
  public boolean has(String key) {
    return json.has(key);
  }

  /** Whether the key is there with a value other than null. */
  public boolean hasValue(String key) {
    return json.has(key) && !json.get(key).isJsonNull();
  }

  /** An object within this one; an empty one if the key is not there. */
  public JsonSection section(String key) {
    return json.has(key) ? new JsonSection(required(key, "object", JsonElement::getAsJsonObject))
        : new JsonSection(new JsonObject());
  }

  /** A number; 0 if the key is not there or null. */
  public double number(String key) {
    return hasValue(key) ? required(key, "number", JsonElement::getAsDouble) : 0;
  }

  /** A number; {@code absent} if the key is not there. */
  public double numberOr(String key, double absent) {
    return has(key) ? required(key, "number", JsonElement::getAsDouble) : absent;
  }

  /** A time that the text gives in milliseconds, in whole ticks; 0 if it is not there or null. */
  public long ticks(String key) {
    return Ticks.ofMillis(number(key));
  }

  /** A boolean; false if the key is not there. */
  public boolean flag(String key) {
    return json.has(key) && required(key, "boolean", JsonElement::getAsBoolean);
  }

  /** A text; empty if the key is not there. */
  public String text(String key) {
    return json.has(key) ? required(key, "word", JsonElement::getAsString) : "";
  }

  /** A whole number that must be there. */
  public int requiredInt(String key) {
    return required(key, "number", JsonElement::getAsInt);
  }

  /** A list of objects that must be there. */
  public List<JsonSection> requiredSections(String key) {
    return required(key, "list of objects",
        list -> map(list, entry -> new JsonSection(entry.getAsJsonObject())));
  }

  /** A list of texts; empty if the key is not there. */
  public List<String> texts(String key) {
    return json.has(key) ? required(key, "list", list -> map(list, JsonElement::getAsString))
        : List.of();
  }

  /** The names of a list of objects, each under its key "name"; empty if it is not there. */
  public List<String> namesOf(String key) {
    if (!json.has(key)) return List.of();
    return required(key, "list", list -> map(list, entry -> new JsonSection(entry.getAsJsonObject())
        .required("name", "word", JsonElement::getAsString)));
  }

  private static <T> List<T> map(JsonElement list, Function<JsonElement, T> decode) {
    List<T> all = new ArrayList<>();
    list.getAsJsonArray().forEach(entry -> all.add(decode.apply(entry)));
    return all;
  }

  /**
   * What must be there.
   *
   * @param expectedType what the failure's message calls the value, as in "number"
   * @param decode       throws a {@link RuntimeException} for a value of another type
   */
  public <T> T required(String key, String expectedType, Function<JsonElement, T> decode) {
    if (!json.has(key)) throw InvalidSettingException.missing(key);
    try {
      return decode.apply(json.get(key));
    } catch (RuntimeException e) {
      throw InvalidSettingException.wrongType(key, expectedType);
    }
  }
}
