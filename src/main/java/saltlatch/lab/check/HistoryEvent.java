package saltlatch.lab.check;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.gson.JsonSyntaxException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import saltlatch.wire.Excerpt;

/**
 * One event of a history.
 *
 * @param name name of the process that recorded the event
 * @param incarnation start of that process to which the event belongs
 * @param monoNs time on the machine's monotonic clock, in ns
 * @param kind kind of event
 * @param fields further fields
 * @param at file and line of the event
 */
public record HistoryEvent(String name, String incarnation, long monoNs, String kind,
    Map<String, String> fields, String at) {
  private static final int MAX_SHOWN_CHARS = 200; // of a malformed line, in an error message

  /** Returns the field's value, or an empty string if the event does not have the field. */
  public String get(String field) {
    return fields.getOrDefault(field, "");
  }

  /** Returns the field's value as a number, or 0 if it is absent or empty. */
  public double number(String field) {
    String text = get(field);
    return text.isEmpty() ? 0 : Double.parseDouble(text);
  }

  /**
   * Reads every {@code *.jsonl} file of a directory into one history ordered by time. A truncated
   * last line of an incarnation, as SIGKILL leaves it, is skipped.
   *
   * @throws IOException if any other line is not an event
   */
  public static List<HistoryEvent> readAll(Path dir) throws IOException {
    List<HistoryEvent> all = new ArrayList<>();
    List<Path> files;
    try (Stream<Path> found = Files.list(dir)) {
      files = found.filter(path -> path.toString().endsWith(".jsonl")).sorted().toList();
    }
    for (Path file : files) {
      String[] lines = Files.readString(file).split("\n", 0);
      for (int i = 0; i < lines.length; i++) {
        if (lines[i].isBlank()) continue;
        try {
          all.add(parse(lines[i], file.getFileName() + ":" + (i + 1)));
        } catch (JsonSyntaxException | IllegalStateException | NullPointerException e) {
          // Only an incarnation's last line can be truncated: the last of the file, or the last
          // before the process was started again.
          boolean truncated = i + 1 == lines.length
              || lines[i + 1].contains("\"message\":\"started\"");
          if (!truncated) throw new IOException(
              file + ":" + (i + 1) + ": expected a history event as a JSON object, found: "
                  + Excerpt.of(lines[i], MAX_SHOWN_CHARS),
              e);
        }
      }
    }
    all.sort(Comparator.comparingLong(HistoryEvent::monoNs)); // stable: keeps each file's order
    return all;
  }

  /**
   * Parses one line of JSON. The parser's unchecked exceptions for a truncated line propagate.
   */
  public static HistoryEvent parse(String json, String at) {
    JsonObject object = JsonParser.parseString(json).getAsJsonObject();
    Map<String, String> fields = new HashMap<>();
    for (JsonElement pair : object.getAsJsonArray("kvpList")) {
      for (var field : pair.getAsJsonObject().entrySet())
        fields.put(field.getKey(), field.getValue().getAsString());
    }
    String name = fields.remove("name");
    String incarnation = fields.remove("inc");
    long monoNs = Long.parseLong(fields.remove("mono_ns"));
    return new HistoryEvent(name, incarnation, monoNs, object.get("message").getAsString(), fields,
        at);
  }
}
