package saltlatch.wire.discovery;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import saltlatch.state.HeapExhaustion;
import saltlatch.wire.FramingException;
import saltlatch.wire.LimitExceededException;
import saltlatch.wire.ProtocolException;

/**
 * Reads a watch's stream of JSON objects: one a line, or one over several lines that are indented.
 * A line that begins with a brace begins an object, whatever came before it.
 *
 * <p>Each entry of {@code endpoints} is decoded as its last byte comes, so that an object's whole
 * text is never held, whatever the order of its fields. Every part has a bound that holds from the
 * first byte beyond it. After a failure the parser can't be used any further.
 */
final class EndpointListParser {
  /** What may come next between the brackets of {@code endpoints}. */
  private enum Next {
    ENTRY_OR_END,
    COMMA_OR_END,
    ENTRY
  }

  /** Entries of one object: twice the largest fleet that is expected. */
  static final int MAX_ENTRIES = 65_536;
  /** Bytes of one entry, and of all that stands outside entries; an entry has 125 or so. */
  static final int MAX_PART_BYTES = 8 << 10;

  private static final String WHERE = "endpoint list";
  private static final int MAX_INTERNED_WORDS = 4_096;
  private static final int ENTRIES_DEPTH = 2; // of braces and brackets, between the entries

  private final PartBuffer outside = new PartBuffer();
  private final PartBuffer entry = new PartBuffer();
  private final JsonNesting nesting = new JsonNesting();
  private final Map<String, String> internedWords = new HashMap<>();
  private List<EndpointList.Entry> entries = new ArrayList<>();
  private boolean lineBegins = true;
  private boolean inEndpoints;
  private Next next = Next.ENTRY_OR_END;
  private long objectBytes; // so far
  private boolean progress;

  /**
   * Takes in what has come, and gives on each list that is complete.
   *
   * @return whether a whole object, a whole entry of one, or an empty line was in it
   * @throws FramingException   an object is malformed; nothing can be read on from there
   * @throws LimitExceededException an object is beyond a bound, or beyond the heap: the same comes
   *     when it is asked for again
   */
  boolean feed(Buffer received, Consumer<EndpointList> consumer) throws ProtocolException {
    progress = false;
    for (int i = 0; i < received.length(); i++) take(received.getByte(i), consumer);
    return progress;
  }

  private void take(byte current, Consumer<EndpointList> consumer) throws ProtocolException {
    // Guards against an object that was cut off and takes the next one in as a part of it.
    if (lineBegins && current == '{' && objectBytes > 0) complete(consumer);
    if (current == '\n' && nesting.depth() <= 0) {
      if (!outside.isBlank()) complete(consumer);
      clear();
      progress = true;
    } else {
      objectBytes++;
      place(current);
    }
    lineBegins = current == '\n';
  }

  /** Puts a byte where it belongs: outside entries, between them, or to the one that is open. */
  private void place(byte current) throws ProtocolException {
    int depthBefore = nesting.depth();
    nesting.follow(current);
    int depth = nesting.depth();
    if (inEndpoints && (depthBefore > ENTRIES_DEPTH || depth > ENTRIES_DEPTH)) {
      inEntry(current, depthBefore);
    } else if (inEndpoints && depth == ENTRIES_DEPTH) {
      betweenEntries(current);
    } else {
      if (inEndpoints) endOfEndpoints(current);
      else if (depthBefore == 1 && depth == ENTRIES_DEPTH && current == '[')
        inEndpoints = outside.endsWithEndpointsKey();
      outside(current);
    }
  }

  private void inEntry(byte current, int depthBefore) throws ProtocolException {
    if (depthBefore == ENTRIES_DEPTH) beginEntry();
    if (entry.size() >= MAX_PART_BYTES)
      throw tooLarge("an entry is too long", MAX_PART_BYTES + " bytes");
    entry.write(current);
    if (nesting.depth() == ENTRIES_DEPTH) endEntry();
  }

  private void beginEntry() throws ProtocolException {
    if (next == Next.COMMA_OR_END) throw malformed("no comma before an entry");
    if (entries.size() >= MAX_ENTRIES) throw tooLarge("too many entries", MAX_ENTRIES + " entries");
  }

  private void endEntry() throws ProtocolException {
    try {
      JsonObject object = JsonParser.parseString(entry.text()).getAsJsonObject();
      entries.add(EndpointList.decodeEntry(object, this::intern));
    } catch (RuntimeException e) {
      throw undecodable(e);
    }
    entry.reset();
    next = Next.COMMA_OR_END;
    progress = true;
  }

  private void betweenEntries(byte separator) throws ProtocolException {
    if (JsonNesting.isSpace(separator)) return;
    if (separator != ',' || next != Next.COMMA_OR_END) throw malformed("no object among endpoints");
    next = Next.ENTRY;
  }

  private void endOfEndpoints(byte bracket) throws ProtocolException {
    if (bracket != ']' || next == Next.ENTRY)
      throw malformed("endpoints end with a comma or a brace");
    inEndpoints = false;
  }

  private void outside(byte current) throws ProtocolException {
    if (outside.size() >= MAX_PART_BYTES) throw new FramingException(WHERE, "a list without end",
        MAX_PART_BYTES + " bytes outside entries");
    outside.write(current);
  }

  private static FramingException malformed(String what) {
    return new FramingException(WHERE, what);
  }

  private LimitExceededException tooLarge(String what, String limit) {
    return new LimitExceededException(WHERE,
        what + ", read up to " + entries.size() + " entries and " + objectBytes + " bytes", limit);
  }

  /**
   * What can't be decoded. Guards against a full heap that passes for a malformed list: the JSON
   * library wraps the heap's end in an error of its own, and the list would be asked for again at
   * once, ever anew.
   */
  static ProtocolException undecodable(RuntimeException failure) {
    String what = HeapExhaustion.explain(failure);
    return HeapExhaustion.isCauseOf(failure)
        ? new LimitExceededException(WHERE, what, null, failure)
        : new FramingException(WHERE, what);
  }

  /** The same object for a word that recurs: thousands of entries name a few zones and types. */
  private String intern(String word) {
    String known = internedWords.get(word);
    if (known != null) return known;
    if (internedWords.size() < MAX_INTERNED_WORDS) internedWords.put(word, word);
    return word;
  }

  private void complete(Consumer<EndpointList> consumer) throws ProtocolException {
    EndpointList list;
    try {
      JsonObject rest = JsonParser.parseString(outside.text()).getAsJsonObject();
      list = EndpointList.decode(rest, entries, this::intern);
    } catch (RuntimeException e) {
      throw undecodable(e);
    }
    clear();
    consumer.accept(list);
  }

  private void clear() {
    outside.reset();
    entry.reset();
    entries = new ArrayList<>();
    internedWords.clear();
    nesting.reset();
    inEndpoints = false;
    next = Next.ENTRY_OR_END;
    objectBytes = 0;
  }
}
