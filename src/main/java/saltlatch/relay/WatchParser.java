package saltlatch.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import saltlatch.distribution.Entry;
import saltlatch.distribution.Update;

/**
 * Parses the stream of a watch incrementally. Of an incomplete line it holds only the text around
 * the list, the entries parsed so far and the current entry. A line's JSON object may contain line
 * breaks, for example if its sender indents it. The first byte beyond a size limit makes the parser
 * fail.
 */
final class WatchParser {
  /** Receives the stream's content in its order. */
  interface Listener {
    /** Called when a complete line with a list has been received. */
    void updateReceived(Update update);

    /** Called when an empty line has been received. */
    void keptAlive();
  }

  /** Limit in bytes of one entry; those of discovery have about 125. */
  static final int MAX_ENTRY_BYTES = 8 * 1024;

  /**
   * Limit in bytes of a line's text outside its entries: index, snapshot, series and keys that a
   * later version may add.
   */
  static final int MAX_ENVELOPE_BYTES = 8 * 1024;

  /**
   * Limit in bytes of the mean size of an entry in a line with the maximum number of entries. It
   * bounds the memory that a line can take.
   */
  static final int MAX_MEAN_ENTRY_BYTES = 512;

  private static final byte[] ENTRIES_KEY = {'"', 'e', 'n', 'd', 'p', 'o', 'i', 'n', 't', 's', '"',
      ':'};
  private static final int LIST_DEPTH = 2; // open braces and brackets around an entry

  private final int maxEntries;
  private final long maxLineBytes;
  private final Listener listener;
  private final EntryParser entryParser = new EntryParser();
  private final byte[] entry = new byte[MAX_ENTRY_BYTES];
  private int entryLength;
  private final byte[] envelope = new byte[MAX_ENVELOPE_BYTES];
  private int envelopeLength;
  private List<Entry> entries = new ArrayList<>();
  private long lineBytes;
  private int depth; // number of open braces and brackets
  private boolean inList; // inside the list of entries
  private boolean separated = true; // the last token in the list was a comma or its opening bracket
  private boolean quoted;
  private boolean escaped;

  WatchParser(int maxEntries, Listener listener) {
    this.maxEntries = maxEntries;
    this.maxLineBytes = MAX_ENVELOPE_BYTES + (long) maxEntries * MAX_MEAN_ENTRY_BYTES;
    this.listener = listener;
  }

  /** Parses the stream's next bytes; must not be called again after it has failed. */
  void feed(byte[] bytes) throws MalformedWatchException {
    for (byte b : bytes) {
      if (depth == 0) readBetweenLines(b);
      else if (inList && depth == LIST_DEPTH && !quoted) readBetweenEntries(b);
      else readContent(b);
    }
  }

  /** Reads a byte between two lines. */
  private void readBetweenLines(byte b) throws MalformedWatchException {
    if (b == '{') beginLine(b);
    else if (b == '\n') listener.keptAlive();
    else if (!isSpace(b))
      throw new MalformedWatchException("expected a JSON object or an empty line, found byte 0x"
          + Integer.toHexString(Byte.toUnsignedInt(b)));
  }

  private void beginLine(byte b) throws MalformedWatchException {
    depth = 1;
    lineBytes = 0;
    envelopeLength = 0;
    entries = new ArrayList<>();
    keep(b);
  }

  /** Reads a byte in the list of entries but outside each entry. */
  private void readBetweenEntries(byte b) throws MalformedWatchException {
    countByte();
    if (isSpace(b)) return;
    if (b == '{' && separated) {
      if (entries.size() >= maxEntries)
        throw new MalformedWatchException("the list has more than " + maxEntries + " entries");
      depth++;
      entryLength = 0;
      separated = false;
      keep(b);
    } else if (b == ',' && !separated) {
      separated = true;
    } else if (b == ']' && (!separated || entries.isEmpty())) {
      inList = false;
      depth--;
      keep(b);
    } else {
      throw new MalformedWatchException("endpoints must be a list of JSON objects, found byte 0x"
          + Integer.toHexString(Byte.toUnsignedInt(b)));
    }
  }

  /** Reads a byte in an entry, or in the line outside the list. */
  private void readContent(byte b) throws MalformedWatchException {
    countByte();
    if (quoted) {
      keep(b);
      if (escaped) escaped = false;
      else if (b == '\\') escaped = true;
      else if (b == '"') quoted = false;
      return;
    }
    if (isSpace(b)) {
      keepSpace();
      return;
    }
    if (!inList && b == ':') dropSpace();
    keep(b);
    if (b == '"') quoted = true;
    else if (b == '{' || b == '[') open(b);
    else if (b == '}' || b == ']') close();
  }

  private void open(byte b) {
    depth++;
    if (depth == LIST_DEPTH && b == '[' && endsWithEntriesKey()) {
      inList = true;
      separated = true;
    }
  }

  private void close() throws MalformedWatchException {
    depth--;
    if (inList && depth == LIST_DEPTH) {
      entries.add(entryParser.entry(entry, entryLength));
    } else if (depth == 0) {
      EntryParser.Envelope line = entryParser.envelope(envelope, envelopeLength);
      listener.updateReceived(new Update(line.version(), line.snapshot(), entries));
      entries = new ArrayList<>();
    }
  }

  /**
   * Returns whether the key before the bracket is {@code endpoints}, as opposed to a longer string
   * that ends with it.
   */
  private boolean endsWithEntriesKey() {
    int from = envelopeLength - 1 - ENTRIES_KEY.length;
    if (from < 1) return false;
    byte before = envelope[from - 1];
    return (before == '{' || before == ',')
        && Arrays.equals(envelope, from, envelopeLength - 1, ENTRIES_KEY, 0, ENTRIES_KEY.length);
  }

  private void keep(byte b) throws MalformedWatchException {
    if (inList) {
      if (entryLength == MAX_ENTRY_BYTES) {
        throw new MalformedWatchException(
            "an entry exceeds the limit of " + MAX_ENTRY_BYTES + " bytes");
      }
      entry[entryLength++] = b;
    } else {
      if (envelopeLength == MAX_ENVELOPE_BYTES) {
        throw new MalformedWatchException(
            "the line exceeds the limit of " + MAX_ENVELOPE_BYTES + " bytes outside its entries");
      }
      envelope[envelopeLength++] = b;
    }
  }

  /**
   * Replaces white space, which may include line breaks, by a space. Outside the entries a space is
   * kept only where two values need a separator.
   */
  private void keepSpace() throws MalformedWatchException {
    if (inList || !isOneOf(envelope[envelopeLength - 1], " {[,:")) keep((byte) ' ');
  }

  private void dropSpace() {
    if (envelope[envelopeLength - 1] == ' ') envelopeLength--;
  }

  private static boolean isOneOf(byte b, String bytes) {
    return bytes.indexOf(b) >= 0;
  }

  private void countByte() throws MalformedWatchException {
    if (++lineBytes > maxLineBytes)
      throw new MalformedWatchException("the line exceeds the limit of " + maxLineBytes + " bytes");
  }

  private static boolean isSpace(byte b) {
    return b == ' ' || b == '\n' || b == '\r' || b == '\t';
  }
}
