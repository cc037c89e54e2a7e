package saltlatch.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import saltlatch.distribution.Entry;
import saltlatch.distribution.Version;

/**
 * Reads the fields of an entry, and of a line outside its entries, that a relay requires. Uses the
 * streaming parser of the JSON library.
 */
final class EntryParser {
  /** The fields of a line outside its entries; {@code snapshot} as in an update. */
  record Envelope(Version version, boolean snapshot) {}

  private static final String GONE = "Gone";

  private final JsonFactory json = JsonFactory.builder()
      // names come from outside the process: interning would keep them in memory forever
      .disable(JsonFactory.Feature.INTERN_FIELD_NAMES).build();

  /** Parses an entry of the list: validates all of its JSON and keeps the text unchanged. */
  Entry entry(byte[] text, int length) throws MalformedWatchException {
    String name = null;
    String status = null;
    try (JsonParser parser = json.createParser(text, 0, length)) {
      require(parser.nextToken() == JsonToken.START_OBJECT, "an entry must be a JSON object");
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        JsonToken value = parser.nextToken();
        if (key.equals("name")) name = string(parser, value, "name");
        else if (key.equals("status")) status = string(parser, value, "status");
        else parser.skipChildren();
      }
      require(parser.nextToken() == null, "an entry must be a single JSON object");
    } catch (IOException e) {
      throw new MalformedWatchException("an entry is not valid JSON: " + firstLine(e));
    }
    require(name != null && !name.isEmpty(), "an entry must have a name that is not empty");
    require(status != null, "an entry must have a status");
    return new Entry(name, GONE.equalsIgnoreCase(status),
        new String(text, 0, length, StandardCharsets.UTF_8));
  }

  /** Parses a line's object without its entries. */
  Envelope envelope(byte[] text, int length) throws MalformedWatchException {
    long index = -1;
    long series = 0;
    Boolean snapshot = null;
    boolean hasEndpoints = false;
    try (JsonParser parser = json.createParser(text, 0, length)) {
      require(parser.nextToken() == JsonToken.START_OBJECT, "a line must be a JSON object");
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        JsonToken value = parser.nextToken();
        if (key.equals("index")) index = count(parser, value, "index");
        else if (key.equals("series")) series = count(parser, value, "series");
        else if (key.equals("snapshot")) snapshot = flag(value);
        else if (key.equals("endpoints")) hasEndpoints = true;
        parser.skipChildren();
      }
    } catch (IOException e) {
      throw new MalformedWatchException("a line is not valid JSON: " + firstLine(e));
    }
    require(index >= 0 && snapshot != null && hasEndpoints,
        "a line must have an index, snapshot and endpoints, but at least one is missing");
    return new Envelope(new Version(series, index), snapshot);
  }

  private static String string(JsonParser parser, JsonToken value, String key)
      throws IOException, MalformedWatchException {
    if (value != JsonToken.VALUE_STRING)
      throw new MalformedWatchException(key + " must be a string, found " + value);
    return parser.getText();
  }

  private static long count(JsonParser parser, JsonToken value, String key)
      throws IOException, MalformedWatchException {
    if (value != JsonToken.VALUE_NUMBER_INT)
      throw new MalformedWatchException(key + " must be an integer, found " + value);
    long count = parser.getLongValue();
    if (count < 0) throw new MalformedWatchException(key + " must be at least 0, found " + count);
    return count;
  }

  private static boolean flag(JsonToken value) throws MalformedWatchException {
    if (value != JsonToken.VALUE_TRUE && value != JsonToken.VALUE_FALSE)
      throw new MalformedWatchException("snapshot must be true or false, found " + value);
    return value == JsonToken.VALUE_TRUE;
  }

  private static void require(boolean condition, String message) throws MalformedWatchException {
    if (!condition) throw new MalformedWatchException(message);
  }

  private static String firstLine(IOException e) {
    return e.getMessage().lines().findFirst().orElse("");
  }
}
