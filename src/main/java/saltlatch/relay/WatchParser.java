package saltlatch.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import saltlatch.distribution.Entry;
import saltlatch.distribution.Update;

/**
 * Cuts the stream of a watch into entries as its bytes come, so that no more of a line is held than
 * its entries and one that has begun. A line may be spread over several, as when its sender
 * indents. Bounds hold from the first byte beyond.
 */
final class WatchParser {
  /** Gets the stream's content, in its order. */
  interface Listener {
    /** A whole line has come. */
    void updateReceived(Update update);

    /** An empty line has come. */
    void keptAlive();
  }

  /** Bytes of one entry; discovery's have about 125. */
  static final int MAX_ENTRY_BYTES = 8 * 1024;

  /**
   * Bytes of a line around its entries: index, snapshot, series and what a later version may add.
   */
  static final int MAX_ENVELOPE_BYTES = 8 * 1024;

  /**
   * Mean bytes of an entry up to which as many as are allowed may come: bounds the memory that a
   * line can take.
   */
  static final int MAX_MEAN_ENTRY_BYTES = 512;

  private static final byte[] ENTRIES_KEY = {'"', 'e', 'n', 'd', 'p', 'o', 'i', 'n', 't', 's', '"',
      ':'};
  private static final int LIST_DEPTH = 2; // braces and brackets open around an entry

  private final int maxEntries;
  private final long maxLineBytes;
  private final Listener sink;
  private final EntryParser values = new EntryParser();
  private final byte[] entry = new byte[MAX_ENTRY_BYTES];
  private int entryLength;
  private final byte[] envelope = new byte[MAX_ENVELOPE_BYTES];
  private int envelopeLength;
  private List<Entry> entries = new ArrayList<>();
  private long lineBytes;
  private int depth; // of open braces and brackets
  private boolean inList; // within the list of entries
  private boolean separated = true; // a comma or the list's beginning came last
  private boolean quoted;
  private boolean escaped;

  WatchParser(int maxEntries, Listener sink) {
    this.maxEntries = maxEntries;
    this.maxLineBytes = MAX_ENVELOPE_BYTES + (long) maxEntries * MAX_MEAN_ENTRY_BYTES;
    this.sink = sink;
  }

  /** Takes the stream's next bytes; the watch is of no further use after a failure. */
  void feed(byte[] bytes) throws MalformedWatchException {
    for (byte b : bytes) {
      if (depth == 0) between(b);
      else if (inList && depth == LIST_DEPTH && !quoted) inList(b);
      else within(b);
    }
  }

  /** Between lines. */
  private void between(byte b) throws MalformedWatchException {
    if (b == '{') begin(b);
    else if (b == '\n') sink.keptAlive();
    else if (!isSpace(b)) throw new MalformedWatchException("a line that is no object");
  }

  private void begin(byte b) throws MalformedWatchException {
    depth = 1;
    lineBytes = 0;
    envelopeLength = 0;
    entries = new ArrayList<>();
    keep(b);
  }

  /** In the list of entries, outside of each. */
  private void inList(byte b) throws MalformedWatchException {
    countByte();
    if (isSpace(b)) return;
    if (b == '{' && separated) {
      if (entries.size() >= maxEntries)
        throw new MalformedWatchException("more than " + maxEntries + " entries");
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
      throw new MalformedWatchException("a list that is not one of objects");
    }
  }

  /** In an entry, or in the line around the list. */
  private void within(byte b) throws MalformedWatchException {
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
      entries.add(values.entry(entry, entryLength));
    } else if (depth == 0) {
      EntryParser.Envelope line = values.envelope(envelope, envelopeLength);
      sink.updateReceived(new Update(line.version(), line.whole(), entries));
      entries = new ArrayList<>();
    }
  }

  /**
   * True if what came before the bracket is the key of the entries, and no longer string that ends
   * like it.
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
        throw new MalformedWatchException("an entry of more than " + MAX_ENTRY_BYTES + " bytes");
      }
      entry[entryLength++] = b;
    } else {
      if (envelopeLength == MAX_ENVELOPE_BYTES) {
        throw new MalformedWatchException(
            "more than " + MAX_ENVELOPE_BYTES + " bytes beside the entries");
      }
      envelope[envelopeLength++] = b;
    }
  }

  /**
   * Lines that were broken become one; around the entries as little is kept as separates two values
   * apart.
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
      throw new MalformedWatchException("more than " + maxLineBytes + " bytes");
  }

  private static boolean isSpace(byte b) {
    return b == ' ' || b == '\n' || b == '\r' || b == '\t';
  }
}
