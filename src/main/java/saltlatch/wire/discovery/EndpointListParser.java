package saltlatch.wire.discovery;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saltlatch.state.HeapExhaustion;

/**
 * Reads a watch's stream of JSON objects: one a line, or one over several lines that are indented.
 * A line that begins with a brace begins an object, whatever came before it. Each entry of
 * {@code endpoints} is decoded as its last byte comes, so that an object's whole text is never
 * held, whatever the order of its fields.
 */
final class EndpointListParser {
  /** The stream can't be read on: what is wrong with it, and whether it is merely too large. */
  static final class Unreadable extends Exception {
    private static final long serialVersionUID = 1;
    private final boolean tooLarge;

    private Unreadable(String text, boolean tooLarge) {
      super(text, null, false, false);
      this.tooLarge = tooLarge;
    }

    /**
     * An entry that can't be decoded; the JSON library wraps the heap's end, which is no fault of
     * the text.
     */
    Unreadable(RuntimeException cause) {
      super(HeapExhaustion.explain(cause), cause, false, false);
      tooLarge = HeapExhaustion.isCauseOf(cause);
    }

    /** Beyond a bound on entries, or beyond the heap: the same when it is asked for again. */
    boolean isTooLarge() {
      return tooLarge;
    }
  }

  /** What may come next between the brackets of {@code endpoints}. */
  private enum Next {
    ENTRY_OR_END,
    COMMA_OR_END,
    ENTRY
  }

  /**
   * Entries of one object: twice the 34,000 app servers that are expected; the least heap holds as
   * many.
   */
  static final int MAX_ENTRIES = 65_536;
  /**
   * Bytes of one entry, and of all that stands outside entries: 60 times an ordinary entry's 125.
   */
  static final int MAX_PART_BYTES = 8 << 10;
  // recurring words kept to be used again: zones, types, hosts
  private static final int MOST_WORDS = 4_096;
  private static final byte[] ENDPOINTS = "\"endpoints\"".getBytes(StandardCharsets.US_ASCII);

  private final Part outside = new Part();
  private final Part entry = new Part();
  private final Map<String, String> words = new HashMap<>();
  private List<EndpointList.Entry> targets = new ArrayList<>();
  private int depth; // of open braces and brackets
  private boolean quoted;
  private boolean escaped;
  private boolean lineBegins = true;
  private boolean inEndpoints;
  private Next next = Next.ENTRY_OR_END;
  private long bytes; // of the object so far
  private boolean progress;

  /** Bytes whose last ones can be looked at. */
  private static final class Part extends ByteArrayOutputStream {
    /** Whether it ends with the key {@code endpoints} and a colon. */
    boolean endsWithEndpoints() {
      int at = skipSpace(count);
      if (at == 0 || buf[at - 1] != ':') return false;
      at = skipSpace(at - 1) - ENDPOINTS.length;
      if (at < 0) return false;
      for (int i = 0; i < ENDPOINTS.length; i++) {
        if (buf[at + i] != ENDPOINTS[i]) return false;
      }
      return true;
    }

    private int skipSpace(int from) {
      int at = from;
      while (at > 0 && isSpace(buf[at - 1])) at--;
      return at;
    }

    boolean isBlank() {
      return skipSpace(count) == 0;
    }

    String text() {
      return toString(StandardCharsets.UTF_8);
    }
  }

  /**
   * Takes in what has come; true if a whole object, a whole entry of one, or an empty line was in
   * it.
   *
   * @throws Unreadable the object is malformed or too large; nothing can be read on from there
   */
  boolean feed(Buffer more, Consumer<EndpointList> use) throws Unreadable {
    progress = false;
    for (int i = 0; i < more.length(); i++) take(more.getByte(i), use);
    return progress;
  }

  private void take(byte b, Consumer<EndpointList> use) throws Unreadable {
    // Guards against an object that was cut off and takes the next one in.
    if (lineBegins && b == '{' && bytes > 0) give(use);
    if (b == '\n' && depth <= 0) {
      if (!outside.isBlank()) give(use);
      clear();
      progress = true;
    } else {
      bytes++;
      place(b);
    }
    lineBegins = b == '\n';
  }

  /** Puts a byte where it belongs: outside entries, between them, or to the one that is open. */
  private void place(byte b) throws Unreadable {
    int before = depth;
    follow(b);
    if (inEndpoints && (before > 2 || depth > 2)) {
      inEntry(b, before);
    } else if (inEndpoints && depth == 2) {
      betweenEntries(b);
    } else {
      if (inEndpoints) endOfEndpoints(b);
      else if (before == 1 && depth == 2 && b == '[') inEndpoints = outside.endsWithEndpoints();
      write(outside, b, false);
    }
  }

  private void inEntry(byte b, int before) throws Unreadable {
    if (before == 2) {
      if (next == Next.COMMA_OR_END) throw new Unreadable("no comma before an entry", false);
      if (targets.size() >= MAX_ENTRIES) throw tooLarge("more than " + MAX_ENTRIES + " entries");
    }
    write(entry, b, true);
    if (depth != 2) return;
    try {
      targets.add(
          EndpointList.target(JsonParser.parseString(entry.text()).getAsJsonObject(), this::word));
    } catch (RuntimeException e) {
      throw new Unreadable(e);
    }
    entry.reset();
    next = Next.COMMA_OR_END;
    progress = true;
  }

  private void betweenEntries(byte b) throws Unreadable {
    if (isSpace(b)) return;
    if (b != ',' || next != Next.COMMA_OR_END)
      throw new Unreadable("no object among endpoints", false);
    next = Next.ENTRY;
  }

  private void endOfEndpoints(byte b) throws Unreadable {
    if (b != ']' || next == Next.ENTRY)
      throw new Unreadable("endpoints end with a comma or a brace", false);
    inEndpoints = false;
  }

  private void write(Part part, byte b, boolean ofEntry) throws Unreadable {
    if (part.size() >= MAX_PART_BYTES) {
      if (ofEntry) throw tooLarge("an entry of more than " + MAX_PART_BYTES + " bytes");
      throw new Unreadable("a list without end", false);
    }
    part.write(b);
  }

  private Unreadable tooLarge(String why) {
    return new Unreadable(
        why + ", read up to " + targets.size() + " entries and " + bytes + " bytes", true);
  }

  private void follow(byte b) {
    if (escaped) escaped = false;
    else if (quoted && b == '\\') escaped = true;
    else if (b == '"') quoted = !quoted;
    else if (!quoted && (b == '{' || b == '[')) depth++;
    else if (!quoted && (b == '}' || b == ']')) depth--;
  }

  private static boolean isSpace(byte b) {
    return b >= 0 && b <= ' ';
  }

  /** The same object for a word that recurs: thousands of entries name a few zones and types. */
  private String word(String word) {
    String known = words.get(word);
    if (known != null) return known;
    if (words.size() < MOST_WORDS) words.put(word, word);
    return word;
  }

  private void give(Consumer<EndpointList> use) throws Unreadable {
    EndpointList list;
    try {
      JsonObject rest = JsonParser.parseString(outside.text()).getAsJsonObject();
      list = EndpointList.decode(rest, targets, this::word);
    } catch (RuntimeException e) {
      throw new Unreadable(e);
    }
    clear();
    use.accept(list);
  }

  private void clear() {
    outside.reset();
    entry.reset();
    targets = new ArrayList<>();
    words.clear();
    depth = 0;
    quoted = false;
    escaped = false;
    inEndpoints = false;
    next = Next.ENTRY_OR_END;
    bytes = 0;
  }
}
