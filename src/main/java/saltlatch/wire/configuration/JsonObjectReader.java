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
import saltlatch.wire.MalformedMessageException;

/**
 * A JSON object and the path at which it stands. What is unknown, missing or of another kind is
 * refused with its path, since a misspelt key must not pass unnoticed.
 */
final class JsonObjectReader {
  private static final String ROOT = "the whole";
  // the largest whole number up to which a double holds every one
  private static final double MAX_WHOLE = 1L << 53;

  private final String path; // of its keys, with dots; empty: the root
  private final JsonObject object;

  private JsonObjectReader(String path, JsonElement element) throws MalformedMessageException {
    this.path = path;
    if (!element.isJsonObject())
      throw new MalformedMessageException(path.isEmpty() ? ROOT : path, "no object");
    object = element.getAsJsonObject();
  }

  /** The object that is the whole text. */
  static JsonObjectReader ofText(String text) throws MalformedMessageException {
    try {
      return new JsonObjectReader("", JsonParser.parseString(text));
    } catch (JsonParseException e) {
      throw new MalformedMessageException(ROOT, "no JSON: " + e.getMessage(), e);
    }
  }

  /** The path of one of its keys. */
  String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** The last part of its own path. */
  String name() {
    return path.substring(path.lastIndexOf('.') + 1);
  }

  /** A fault at one of its keys. */
  MalformedMessageException fault(String key, String what) {
    return new MalformedMessageException(pathOf(key), what);
  }

  /** Refuses every key but these. */
  void allowOnly(List<String> keys) throws MalformedMessageException {
    for (String key : object.keySet()) if (!keys.contains(key)) throw fault(key, "not known");
  }

  boolean has(String key) {
    return object.has(key) && !object.get(key).isJsonNull();
  }

  private JsonElement required(String key) throws MalformedMessageException {
    if (!has(key)) throw fault(key, "missing");
    return object.get(key);
  }

  JsonObjectReader child(String key) throws MalformedMessageException {
    return new JsonObjectReader(pathOf(key), required(key));
  }

  /** The object at each of its keys, in their order. */
  List<JsonObjectReader> children() throws MalformedMessageException {
    List<JsonObjectReader> children = new ArrayList<>();
    for (String key : object.keySet())
      children.add(new JsonObjectReader(pathOf(key), object.get(key)));
    return children;
  }

  String word(String key) throws MalformedMessageException {
    JsonElement element = required(key);
    if (!isString(element)) throw fault(key, "no word");
    return element.getAsString();
  }

  /** A list of words; empty where the key is missing. */
  SortedSet<String> words(String key) throws MalformedMessageException {
    SortedSet<String> words = new TreeSet<>();
    if (!has(key)) return words;
    if (!required(key).isJsonArray()) throw fault(key, "no list");
    for (JsonElement element : required(key).getAsJsonArray()) {
      if (!isString(element)) throw fault(key, "words alone");
      words.add(element.getAsString());
    }
    return words;
  }

  private static boolean isString(JsonElement element) {
    return element.isJsonPrimitive() && element.getAsJsonPrimitive().isString();
  }

  /** A number from 0 on; 0 where the key is missing. */
  double number(String key) throws MalformedMessageException {
    if (!has(key)) return 0;
    JsonElement element = required(key);
    if (!element.isJsonPrimitive() || !element.getAsJsonPrimitive().isNumber())
      throw fault(key, "no number");
    double number = element.getAsDouble();
    if (!Double.isFinite(number) || number < 0) throw fault(key, "from 0 on");
    return number;
  }

  /** A whole number from 0 on; 0 where the key is missing. */
  long whole(String key) throws MalformedMessageException {
    double number = number(key);
    if (number != Math.rint(number) || number > MAX_WHOLE) throw fault(key, "a whole number");
    return (long) number;
  }

  /** A time that the text gives in ms; 0 where the key is missing. */
  long ticks(String key) throws MalformedMessageException {
    return Math.round(number(key) * Ticks.PER_MILLISECOND);
  }
}
