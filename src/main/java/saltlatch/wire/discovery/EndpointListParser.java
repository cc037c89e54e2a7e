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
 * Parses a watch's stream of JSON objects: one per line, or one over several indented lines. A line
 * that starts with a brace starts an object, whatever precedes it.
 *
 * <p>Each entry of {@code endpoints} is decoded when its last byte arrives, so that the complete
 * text of an object is never held in memory, in whatever order its fields are. Each part has a size
 * limit, which is enforced at the first byte that exceeds it. After a failure the parser must not
 * be used again.
 */
final class EndpointListParser {
  /** What may follow in the array of {@code endpoints}. */
  private enum Next {
    ENTRY_OR_END("an object or ]"),
    COMMA_OR_END("a comma or ]"),
    ENTRY("an object");

    private final String description;

    Next(String description) {
      this.description = description;
    }
  }

  /** The maximum number of entries of an object: twice the largest expected fleet. */
  static final int MAX_ENTRIES = 65_536;
  /**
   * The maximum size of an entry, and of all text of an object outside its entries; an entry
   * usually has about 125 bytes.
   */
  static final int MAX_PART_BYTES = 8 << 10;

  private static final String LOCATION = "endpoint list";
  private static final int MAX_INTERNED_WORDS = 4_096;
  private static final int ENTRIES_DEPTH = 2; // open braces and brackets between two entries

  private final PartBuffer outside = new PartBuffer();
  private final PartBuffer entry = new PartBuffer();
  private final JsonNesting nesting = new JsonNesting();
  private final Map<String, String> internedWords = new HashMap<>();
  private List<EndpointList.Entry> entries = new ArrayList<>();
  private boolean atLineStart = true;
  private boolean inEndpoints;
  private Next next = Next.ENTRY_OR_END;
  private long objectBytes; // of the current object, so far
  private boolean progress;

  /**
   * Parses received bytes and passes each complete list to the consumer.
   *
   * @return whether the bytes completed an object or an entry, or contained an empty line
   * @throws FramingException       if an object is malformed; the rest of the stream cannot be
   *                                parsed
   * @throws LimitExceededException if an object exceeds a limit or the heap; another request would
   *                                receive the same object
   */
  boolean feed(Buffer received, Consumer<EndpointList> consumer) throws ProtocolException {
    progress = false;
    for (int i = 0; i < received.length(); i++) accept(received.getByte(i), consumer);
    return progress;
  }

  private void accept(byte current, Consumer<EndpointList> consumer) throws ProtocolException {
    // Guards against an object that was cut off and would absorb the next one as a part of it.
    if (atLineStart && current == '{' && objectBytes > 0) completeObject(consumer);
    if (current == '\n' && nesting.depth() <= 0) {
      if (!outside.isBlank()) completeObject(consumer);
      reset();
      progress = true;
    } else {
      objectBytes++;
      handle(current);
    }
    atLineStart = current == '\n';
  }

  /** Handles a byte according to its position: outside the entries, between them or in one. */
  private void handle(byte current) throws ProtocolException {
    int depthBefore = nesting.depth();
    nesting.advance(current);
    int depth = nesting.depth();
    if (inEndpoints && (depthBefore > ENTRIES_DEPTH || depth > ENTRIES_DEPTH)) {
      appendToEntry(current, depthBefore);
    } else if (inEndpoints && depth == ENTRIES_DEPTH) {
      checkSeparator(current);
    } else {
      if (inEndpoints) endEndpoints(current);
      else if (depthBefore == 1 && depth == ENTRIES_DEPTH && current == '[')
        inEndpoints = outside.endsWithEndpointsKey();
      appendOutside(current);
    }
  }

  private void appendToEntry(byte current, int depthBefore) throws ProtocolException {
    if (depthBefore == ENTRIES_DEPTH) beginEntry();
    if (entry.size() >= MAX_PART_BYTES)
      throw limitExceeded("oversized entry", MAX_PART_BYTES + " bytes");
    entry.write(current);
    if (nesting.depth() == ENTRIES_DEPTH) endEntry();
  }

  private void beginEntry() throws ProtocolException {
    if (next == Next.COMMA_OR_END) throw malformed("another entry");
    if (entries.size() >= MAX_ENTRIES)
      throw limitExceeded("another entry", MAX_ENTRIES + " entries");
  }

  private void endEntry() throws ProtocolException {
    try {
      JsonObject object = JsonParser.parseString(entry.text()).getAsJsonObject();
      entries.add(EndpointList.decodeEntry(object, this::intern));
    } catch (RuntimeException e) {
      throw toProtocolException(e);
    }
    entry.reset();
    next = Next.COMMA_OR_END;
    progress = true;
  }

  private void checkSeparator(byte separator) throws ProtocolException {
    if (JsonNesting.isSpace(separator)) return;
    if (separator != ',' || next != Next.COMMA_OR_END) throw malformed(describe(separator));
    next = Next.ENTRY;
  }

  private void endEndpoints(byte bracket) throws ProtocolException {
    if (bracket != ']' || next == Next.ENTRY) throw malformed(describe(bracket));
    inEndpoints = false;
  }

  private void appendOutside(byte current) throws ProtocolException {
    if (outside.size() >= MAX_PART_BYTES)
      throw new FramingException(LOCATION, "expected the end of the object, found more text",
          MAX_PART_BYTES + " bytes outside entries");
    outside.write(current);
  }

  private FramingException malformed(String found) {
    return new FramingException(LOCATION,
        "expected " + next.description + " after " + entries.size() + " entries, found " + found);
  }

  private static String describe(byte found) {
    return String.format("byte 0x%02x", found);
  }

  private LimitExceededException limitExceeded(String found, String limit) {
    return new LimitExceededException(LOCATION,
        found + " found after " + entries.size() + " entries and " + objectBytes + " bytes", limit);
  }

  /**
   * Converts a decoding failure. Guards against a full heap that is reported as a malformed list:
   * the JSON library wraps the {@link OutOfMemoryError} in another exception, and the node
   * would request the list again and again without a growing interval.
   */
  static ProtocolException toProtocolException(RuntimeException failure) {
    String problem = HeapExhaustion.explain(failure);
    return HeapExhaustion.isCauseOf(failure)
        ? new LimitExceededException(LOCATION, problem, null, failure)
        : new FramingException(LOCATION, problem);
  }

  /** Returns one instance for equal words: thousands of entries name a few zones and types. */
  private String intern(String word) {
    String interned = internedWords.get(word);
    if (interned != null) return interned;
    if (internedWords.size() < MAX_INTERNED_WORDS) internedWords.put(word, word);
    return word;
  }

  private void completeObject(Consumer<EndpointList> consumer) throws ProtocolException {
    EndpointList list;
    try {
      JsonObject object = JsonParser.parseString(outside.text()).getAsJsonObject();
      list = EndpointList.decode(object, entries, this::intern);
    } catch (RuntimeException e) {
      throw toProtocolException(e);
    }
    reset();
    consumer.accept(list);
  }

  private void reset() {
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
