package saltlatch.settings;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import saltlatch.api.Ticks;

/**
 * A JSON object with typed access to its keys. For a value of the wrong type, accessors throw an
 * {@link InvalidSettingException} that names the key. Immutable as long as the underlying JSON
 * object is not modified.
 */
public final class JsonSection {
  private final JsonObject json;

  private JsonSection(JsonObject json) {
    this.json = json;
  }

  /**
   * Parses a text that consists of one JSON object.
   *
   * @throws RuntimeException from the parser, if the text is anything else
   */
  public static JsonSection parse(String text) {
    return new JsonSection(JsonParser.parseString(text).getAsJsonObject());
  }

  /** Returns whether the key is present, even if its value is null. */
  public boolean has(String key) {
    return json.has(key);
  }

  /** Returns whether the key is present with a value other than null. */
  public boolean hasValue(String key) {
    return json.has(key) && !json.get(key).isJsonNull();
  }

  /** Returns the object under the key, or an empty one if the key is absent. */
  public JsonSection section(String key) {
    return json.has(key) ? new JsonSection(required(key, "object", JsonElement::getAsJsonObject))
        : new JsonSection(new JsonObject());
  }

  /** Returns the number under the key, or 0 if the key is absent or its value is null. */
  public double number(String key) {
    return hasValue(key) ? required(key, "number", JsonElement::getAsDouble) : 0;
  }

  /** Returns the number under the key, or {@code defaultValue} if the key is absent. */
  public double numberOr(String key, double defaultValue) {
    return has(key) ? required(key, "number", JsonElement::getAsDouble) : defaultValue;
  }

  /**
   * Converts a duration given in milliseconds to whole ticks; returns 0 if the key is absent or its
   * value is null.
   */
  public long ticks(String key) {
    return Ticks.ofMillis(number(key));
  }

  /** Returns the boolean under the key, or false if the key is absent. */
  public boolean flag(String key) {
    return json.has(key) && required(key, "boolean", JsonElement::getAsBoolean);
  }

  /** Returns the string under the key, or an empty one if the key is absent. */
  public String text(String key) {
    return json.has(key) ? required(key, "word", JsonElement::getAsString) : "";
  }

  /** Returns the integer under a required key. */
  public int requiredInt(String key) {
    return required(key, "number", JsonElement::getAsInt);
  }

  /** Returns the list of objects under a required key. */
  public List<JsonSection> requiredSections(String key) {
    return required(key, "list of objects",
        list -> map(list, entry -> new JsonSection(entry.getAsJsonObject())));
  }

  /** Returns the list of strings under the key, or an empty one if the key is absent. */
  public List<String> texts(String key) {
    return json.has(key) ? required(key, "list", list -> map(list, JsonElement::getAsString))
        : List.of();
  }

  /**
   * Returns the value of "name" of each object in the list under the key; empty if the key is
   * absent.
   */
  public List<String> namesOf(String key) {
    if (!json.has(key)) return List.of();
    return required(key, "list", list -> map(list, entry -> new JsonSection(entry.getAsJsonObject())
        .required("name", "word", JsonElement::getAsString)));
  }

  private static <T> List<T> map(JsonElement list, Function<JsonElement, T> decode) {
    List<T> decoded = new ArrayList<>();
    list.getAsJsonArray().forEach(entry -> decoded.add(decode.apply(entry)));
    return decoded;
  }

  /**
   * Returns the decoded value of a required key.
   *
   * @param expectedType the type's name in the error message, for example "number"
   * @param decode       throws a {@link RuntimeException} for a value of another type
   * @throws InvalidSettingException if the key is absent or its value has another type
   */
  public <T> T required(String key, String expectedType, Function<JsonElement, T> decode) {
    if (!json.has(key)) throw InvalidSettingException.missing(key);
    try {
      return decode.apply(json.get(key));
    } catch (RuntimeException e) {
      throw InvalidSettingException.wrongType(key, expectedType, json.get(key).toString());
    }
  }
}
