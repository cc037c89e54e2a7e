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

/**
 * One event of a history: which process, in which incarnation, when on the machine's monotonic
 * clock, what, and its fields; {@code at} is where it stands (file and line).
 */
public record HistoryEvent(String name, String incarnation, long monoNs, String kind,
    Map<String, String> fields, String at) {

  public String get(String field) {
    return fields.getOrDefault(field, "");
  }

  public double number(String field) {
    String text = get(field);
    return text.isEmpty() ? 0 : Double.parseDouble(text);
  }

  /**
   * Every {@code *.jsonl} of a directory as one history in order of time. A torn last line, as
   * SIGKILL leaves, is passed over.
   */
  public static List<HistoryEvent> readAll(Path dir) throws IOException {
    List<HistoryEvent> all = new ArrayList<>();
    List<Path> files;
    try (Stream<Path> found = Files.list(dir)) {
      files = found.filter(p -> p.toString().endsWith(".jsonl")).sorted().toList();
    }
    for (Path p : files) {
      String[] lines = Files.readString(p).split("\n", 0);
      for (int i = 0; i < lines.length; i++) {
        if (lines[i].isBlank()) continue;
        try {
          all.add(parse(lines[i], p.getFileName() + ":" + (i + 1)));
        } catch (JsonSyntaxException | IllegalStateException | NullPointerException e) {
          // A torn line ends an incarnation: the last of the file, or the last before it was
          // started again.
          boolean torn = i + 1 == lines.length || lines[i + 1].contains("\"message\":\"started\"");
          if (!torn) throw new IOException(p + ":" + (i + 1) + ": not an event: " + lines[i], e);
        }
      }
    }
    all.sort(Comparator.comparingLong(HistoryEvent::monoNs)); // stable: a file's own order holds
    return all;
  }

  /** One line of JSON; throws what the parser throws for a torn one. */
  public static HistoryEvent parse(String json, String at) {
    JsonObject o = JsonParser.parseString(json).getAsJsonObject();
    Map<String, String> fields = new HashMap<>();
    for (JsonElement pair : o.getAsJsonArray("kvpList")) {
      for (var e : pair.getAsJsonObject().entrySet())
        fields.put(e.getKey(), e.getValue().getAsString());
    }
    String name = fields.remove("name");
    String incarnation = fields.remove("inc");
    long mono = Long.parseLong(fields.remove("mono_ns"));
    return new HistoryEvent(name, incarnation, mono, o.get("message").getAsString(), fields, at);
  }
}
