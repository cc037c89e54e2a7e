package saltlatch.wire.configuration;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import saltlatch.api.Ticks;
import saltlatch.wire.Excerpt;
import saltlatch.wire.MalformedMessageException;

/**
 * Reads a JSON object that has a path in its document. Unknown keys, missing keys and values of the
 * wrong type are rejected with their path, because a misspelt key must not go unnoticed.
 */
final class JsonObjectReader {
  private static final String ROOT = "document";
  // A double represents every integer up to this one exactly.
  private static final long MAX_INTEGER = 1L << 53;
  private static final int MAX_CAUSE_CHARACTERS = 256; // of the JSON library's message

  private final String path; // keys separated by dots; empty: the root
  private final JsonObject object;

  private JsonObjectReader(String path, JsonElement element) throws MalformedMessageException {
    this.path = path;
    if (!element.isJsonObject()) throw new MalformedMessageException(path.isEmpty() ? ROOT : path,
        "expected an object, found " + describe(element));
    object = element.getAsJsonObject();
  }

  /** Parses a text that consists of one JSON object. */
  static JsonObjectReader ofText(String text) throws MalformedMessageException {
    try {
      return new JsonObjectReader("", JsonParser.parseString(text));
    } catch (JsonParseException e) {
      throw new MalformedMessageException(ROOT,
          "expected JSON: " + Excerpt.of(String.valueOf(e.getMessage()), MAX_CAUSE_CHARACTERS), e);
    }
  }

  /** Returns the path of a key of this object. */
  String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** Returns the last part of this object's path. */
  String name() {
    return path.substring(path.lastIndexOf('.') + 1);
  }

  /** Returns an exception for a problem with the value of a key of this object. */
  MalformedMessageException malformed(String key, String problem) {
    return new MalformedMessageException(pathOf(key), problem);
  }

  /** Describes a value from outside in a message: the type of a container, or a bounded text. */
  private static String describe(JsonElement element) {
    if (element.isJsonObject()) return "an object";
    if (element.isJsonArray()) return "an array";
    return isString(element) ? Excerpt.quoted(element.getAsString())
        : Excerpt.of(element.toString());
  }

  /** Rejects every key that is not in the list. */
  void allowOnly(List<String> keys) throws MalformedMessageException {
    for (String key : object.keySet()) {
      if (!keys.contains(key))
        throw malformed(Excerpt.of(key), "unknown key, expected one of " + keys);
    }
  }

  boolean has(String key) {
    return object.has(key) && !object.get(key).isJsonNull();
  }

  private JsonElement required(String key) throws MalformedMessageException {
    if (!has(key)) throw malformed(key, "expected a value, found none");
    return object.get(key);
  }

  JsonObjectReader child(String key) throws MalformedMessageException {
    return new JsonObjectReader(pathOf(key), required(key));
  }

  /** Returns the objects at all keys, in the order of the keys. */
  List<JsonObjectReader> children() throws MalformedMessageException {
    List<JsonObjectReader> children = new ArrayList<>();
    for (String key : object.keySet())
      children.add(new JsonObjectReader(pathOf(key), object.get(key)));
    return children;
  }

  String string(String key) throws MalformedMessageException {
    JsonElement element = required(key);
    if (!isString(element)) throw malformed(key, "expected a string, found " + describe(element));
    return element.getAsString();
  }

  /** Returns an array of strings; empty if the key is missing. */
  SortedSet<String> strings(String key) throws MalformedMessageException {
    SortedSet<String> strings = new TreeSet<>();
    if (!has(key)) return strings;
    if (!required(key).isJsonArray())
      throw malformed(key, "expected an array of strings, found " + describe(required(key)));
    for (JsonElement element : required(key).getAsJsonArray()) {
      if (!isString(element))
        throw malformed(key, "expected only strings in the array, found " + describe(element));
      strings.add(element.getAsString());
    }
    return strings;
  }

  private static boolean isString(JsonElement element) {
    return element.isJsonPrimitive() && element.getAsJsonPrimitive().isString();
  }

  /** Returns a finite number that is not negative; 0 if the key is missing. */
  double number(String key) throws MalformedMessageException {
    if (!has(key)) return 0;
    JsonElement element = required(key);
    if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isNumber())
      throw malformed(key, "expected a number, found " + describe(element));
    double number = element.getAsDouble();
    if (!Double.isFinite(number) || number < 0)
      throw malformed(key, "expected a finite number of at least 0, found " + describe(element));
    return number;
  }

  /** Returns an integer that is not negative; 0 if the key is missing. */
  long integer(String key) throws MalformedMessageException {
    double number = number(key);
    if (number != Math.rint(number) || number > MAX_INTEGER)
      throw malformed(key, "expected an integer of at most " + MAX_INTEGER + ", found " + number);
    return (long) number;
  }

  /** Returns a time in ticks, which the text gives in ms; 0 if the key is missing. */
  long ticks(String key) throws MalformedMessageException {
    return Math.round(number(key) * Ticks.PER_MILLISECOND);
  }
}
