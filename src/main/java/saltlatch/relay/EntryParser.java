package saltlatch.relay;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import saltlatch.distribution.Entry;
import saltlatch.distribution.Version;

/**
 * Reads, with the JSON library's streaming parser, what a relay has to know of an entry and of a
 * line around its entries.
 */
final class EntryParser {
  /** What a line says beside its entries. */
  record Envelope(Version version, boolean whole) {}

  private static final String GONE = "Gone";

  private final JsonFactory json = JsonFactory.builder()
      // names come from outside: none is kept for good
      .disable(JsonFactory.Feature.INTERN_FIELD_NAMES).build();

  /** An entry of the list: its JSON is checked as a whole and kept as it is. */
  Entry entry(byte[] text, int length) throws MalformedWatchException {
    String name = null;
    String status = null;
    try (JsonParser parser = json.createParser(text, 0, length)) {
      expect(parser.nextToken() == JsonToken.START_OBJECT, "an entry that is no object");
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        JsonToken value = parser.nextToken();
        if (key.equals("name")) name = string(parser, value, "name");
        else if (key.equals("status")) status = string(parser, value, "status");
        else parser.skipChildren();
      }
      expect(parser.nextToken() == null, "more than one object in an entry");
    } catch (IOException e) {
      throw new MalformedWatchException("an entry that is no JSON: " + firstLine(e));
    }
    expect(name != null && !name.isEmpty(), "an entry without a name");
    expect(status != null, "an entry without a status");
    return new Entry(name, GONE.equalsIgnoreCase(status),
        new String(text, 0, length, StandardCharsets.UTF_8));
  }

  /** A line's object without its entries. */
  Envelope envelope(byte[] text, int length) throws MalformedWatchException {
    long index = -1;
    long series = 0;
    Boolean whole = null;
    boolean listed = false;
    try (JsonParser parser = json.createParser(text, 0, length)) {
      expect(parser.nextToken() == JsonToken.START_OBJECT, "a line that is no object");
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String key = parser.currentName();
        JsonToken value = parser.nextToken();
        if (key.equals("index")) index = count(parser, value, "index");
        else if (key.equals("series")) series = count(parser, value, "series");
        else if (key.equals("snapshot")) whole = flag(value);
        else if (key.equals("endpoints")) listed = true;
        parser.skipChildren();
      }
    } catch (IOException e) {
      throw new MalformedWatchException("a line that is no JSON: " + firstLine(e));
    }
    expect(index >= 0 && whole != null && listed, "a line without index, snapshot or endpoints");
    return new Envelope(new Version(series, index), whole);
  }

  private static String string(JsonParser parser, JsonToken value, String key)
      throws IOException, MalformedWatchException {
    expect(value == JsonToken.VALUE_STRING, key + " that is no string");
    return parser.getText();
  }

  private static long count(JsonParser parser, JsonToken value, String key)
      throws IOException, MalformedWatchException {
    expect(value == JsonToken.VALUE_NUMBER_INT, key + " that is no whole number");
    long count = parser.getLongValue();
    expect(count >= 0, key + " below nought");
    return count;
  }

  private static boolean flag(JsonToken value) throws MalformedWatchException {
    expect(value == JsonToken.VALUE_TRUE || value == JsonToken.VALUE_FALSE,
        "snapshot that is no boolean");
    return value == JsonToken.VALUE_TRUE;
  }

  private static void expect(boolean holds, String otherwise) throws MalformedWatchException {
    if (!holds) throw new MalformedWatchException(otherwise);
  }

  private static String firstLine(IOException e) {
    return e.getMessage().lines().findFirst().orElse("");
  }
}
