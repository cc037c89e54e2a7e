package saltlatch.distribution;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The list as last received, with its version and the log of its changes. Its version never goes
 * backwards.
 */
final class Replica {
  /** What became of an update. */
  enum Outcome {
    /** The list stands at the update's version. */
    APPLIED,
    /** The version held already: nothing new. */
    SAME,
    /** Of an older version or series: ignored. */
    OLDER,
    /** A change of a later series, which the list held is no base for: ignored. */
    NO_BASE,
    /** The list would have more entries than are allowed: ignored. */
    TOO_LONG
  }

  /** Bytes beside the entries in a whole list, and between two of them. */
  private static final int LIST_BYTES = 64;

  private static final int SEPARATOR_BYTES = 1;

  private final int maxEntries;
  private final ChangeLog log;
  private Map<String, Entry> entries = new LinkedHashMap<>();
  private Version version = Version.NONE;
  private boolean listed;
  private long bytes = LIST_BYTES;

  Replica(int maxEntries, int logChanges) {
    this.maxEntries = maxEntries;
    log = new ChangeLog(logChanges);
  }

  /** Applies what is newer than the list held and can be combined with it. */
  Outcome apply(Update update) {
    if (!listed) {
      return replace(update);
    }
    if (update.version().series() != version.series()) {
      return ofAnotherSeries(update);
    }
    int order = update.version().compareTo(version);
    if (order <= 0) {
      return order == 0 ? Outcome.SAME : Outcome.OLDER;
    }
    return update.snapshot() ? compare(update) : change(update);
  }

  /** Whether any list was received yet. */
  boolean listed() {
    return listed;
  }

  /** The version held, {@link Version#NONE} before the first list. */
  Version version() {
    return version;
  }

  /** The entries of the list now. */
  List<Entry> snapshot() {
    return List.copyOf(entries.values());
  }

  /** Number of entries of the list. */
  int size() {
    return entries.size();
  }

  /** Bytes of a whole list, estimated. */
  long bytes() {
    return bytes;
  }

  /** The log of the changes of this series. */
  ChangeLog log() {
    return log;
  }

  private Outcome ofAnotherSeries(Update update) {
    if (update.version().series() < version.series()) {
      return Outcome.OLDER;
    }
    return update.snapshot() ? replace(update) : Outcome.NO_BASE;
  }

  private Outcome replace(Update update) {
    Map<String, Entry> next = listOf(update);
    if (next.size() > maxEntries) {
      return Outcome.TOO_LONG;
    }
    hold(next);
    listed = true;
    version = update.version();
    log.restart(version.index());
    return Outcome.APPLIED;
  }

  private Outcome compare(Update update) {
    Map<String, Entry> next = listOf(update);
    if (next.size() > maxEntries) {
      return Outcome.TOO_LONG;
    }
    long index = update.version().index();
    log.leapt(version.index(), index);
    for (Entry entry : entries.values()) {
      if (!next.containsKey(entry.name())) {
        log.add(index, entry.asRemoved());
      }
    }
    for (Entry entry : next.values()) {
      if (!entry.equals(entries.get(entry.name()))) {
        log.add(index, entry);
      }
    }
    hold(next);
    version = update.version();
    return Outcome.APPLIED;
  }

  private Outcome change(Update update) {
    if (sizeAfter(update) > maxEntries) {
      return Outcome.TOO_LONG;
    }
    for (Entry entry : update.entries()) {
      put(entry);
      log.add(update.version().index(), entry);
    }
    version = update.version();
    return Outcome.APPLIED;
  }

  private int sizeAfter(Update update) {
    Map<String, Boolean> changed = new LinkedHashMap<>();
    for (Entry entry : update.entries()) {
      changed.put(entry.name(), !entry.removed());
    }
    int size = entries.size();
    for (Map.Entry<String, Boolean> name : changed.entrySet()) {
      size += (name.getValue() ? 1 : 0) - (entries.containsKey(name.getKey()) ? 1 : 0);
    }
    return size;
  }

  private void put(Entry entry) {
    Entry former = entry.removed() ? entries.remove(entry.name())
        : entries.put(entry.name(), entry);
    bytes -= former == null ? 0 : bytesOf(former);
    bytes += entry.removed() ? 0 : bytesOf(entry);
  }

  private void hold(Map<String, Entry> next) {
    entries = next;
    bytes = LIST_BYTES;
    for (Entry entry : next.values()) {
      bytes += bytesOf(entry);
    }
  }

  private static Map<String, Entry> listOf(Update update) {
    Map<String, Entry> list = new LinkedHashMap<>();
    for (Entry entry : update.entries()) {
      if (entry.removed()) {
        list.remove(entry.name());
      } else {
        list.put(entry.name(), entry);
      }
    }
    return list;
  }

  private static int bytesOf(Entry entry) {
    return entry.json().length() + SEPARATOR_BYTES;
  }
}
