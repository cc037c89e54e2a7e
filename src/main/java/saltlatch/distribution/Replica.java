package saltlatch.distribution;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The list as last received, with its version and change log. The version never decreases.
 */
final class Replica {
  /** Result of an update. */
  enum Outcome {
    /** The update was applied; the list has its version. */
    APPLIED,
    /** The list already has this version: ignored. */
    SAME_VERSION,
    /** The update has an older version or series: ignored. */
    OLDER_VERSION,
    /** Changes of a later series, which cannot be applied to the current list: ignored. */
    MISSING_BASE,
    /** The list would exceed the maximum number of entries: ignored. */
    TOO_MANY_ENTRIES
  }

  /** Estimated bytes of a snapshot in addition to its entries. */
  private static final int SNAPSHOT_OVERHEAD_BYTES = 64;

  /** Bytes between two entries. */
  private static final int SEPARATOR_BYTES = 1;

  private final int maxEntries;
  private final ChangeLog log;
  private Map<String, Entry> entries = new LinkedHashMap<>();
  private Version version = Version.NONE;
  private boolean hasList;
  private long estimatedBytes = SNAPSHOT_OVERHEAD_BYTES;

  Replica(int maxEntries, int logChanges) {
    this.maxEntries = maxEntries;
    log = new ChangeLog(logChanges);
  }

  /** Applies an update if it is newer than the current list and can be combined with it. */
  Outcome apply(Update update) {
    if (!hasList) {
      return replaceList(update);
    }
    if (update.version().series() != version.series()) {
      return applyOtherSeries(update);
    }
    int order = update.version().compareTo(version);
    if (order <= 0) {
      return order == 0 ? Outcome.SAME_VERSION : Outcome.OLDER_VERSION;
    }
    return update.snapshot() ? applySnapshot(update) : applyChanges(update);
  }

  /** Returns whether any list has been received. */
  boolean hasList() {
    return hasList;
  }

  /** Returns the version of the list, {@link Version#NONE} before the first list. */
  Version version() {
    return version;
  }

  /** Returns the current entries of the list. */
  List<Entry> snapshot() {
    return List.copyOf(entries.values());
  }

  /** Returns the number of entries of the list. */
  int size() {
    return entries.size();
  }

  /** Returns the estimated bytes of a snapshot. */
  long estimatedBytes() {
    return estimatedBytes;
  }

  /** Returns the change log of the current series. */
  ChangeLog log() {
    return log;
  }

  private Outcome applyOtherSeries(Update update) {
    if (update.version().series() < version.series()) {
      return Outcome.OLDER_VERSION;
    }
    return update.snapshot() ? replaceList(update) : Outcome.MISSING_BASE;
  }

  private Outcome replaceList(Update update) {
    Map<String, Entry> newEntries = entriesByName(update);
    if (newEntries.size() > maxEntries) {
      return Outcome.TOO_MANY_ENTRIES;
    }
    setEntries(newEntries);
    hasList = true;
    version = update.version();
    log.reset(version.index());
    return Outcome.APPLIED;
  }

  private Outcome applySnapshot(Update update) {
    Map<String, Entry> newEntries = entriesByName(update);
    if (newEntries.size() > maxEntries) {
      return Outcome.TOO_MANY_ENTRIES;
    }
    long index = update.version().index();
    log.addDiffedRange(version.index(), index);
    for (Entry entry : entries.values()) {
      if (!newEntries.containsKey(entry.name())) {
        log.add(index, entry.asRemoved());
      }
    }
    for (Entry entry : newEntries.values()) {
      if (!entry.equals(entries.get(entry.name()))) {
        log.add(index, entry);
      }
    }
    setEntries(newEntries);
    version = update.version();
    return Outcome.APPLIED;
  }

  private Outcome applyChanges(Update update) {
    if (sizeAfter(update) > maxEntries) {
      return Outcome.TOO_MANY_ENTRIES;
    }
    for (Entry entry : update.entries()) {
      applyChange(entry);
      log.add(update.version().index(), entry);
    }
    version = update.version();
    return Outcome.APPLIED;
  }

  private int sizeAfter(Update update) {
    Map<String, Boolean> presentAfter = new LinkedHashMap<>();
    for (Entry entry : update.entries()) {
      presentAfter.put(entry.name(), !entry.removed());
    }
    int size = entries.size();
    for (Map.Entry<String, Boolean> change : presentAfter.entrySet()) {
      size += (change.getValue() ? 1 : 0) - (entries.containsKey(change.getKey()) ? 1 : 0);
    }
    return size;
  }

  private void applyChange(Entry entry) {
    Entry previous = entry.removed() ? entries.remove(entry.name())
        : entries.put(entry.name(), entry);
    estimatedBytes -= previous == null ? 0 : estimatedBytesOf(previous);
    estimatedBytes += entry.removed() ? 0 : estimatedBytesOf(entry);
  }

  private void setEntries(Map<String, Entry> newEntries) {
    entries = newEntries;
    estimatedBytes = SNAPSHOT_OVERHEAD_BYTES;
    for (Entry entry : newEntries.values()) {
      estimatedBytes += estimatedBytesOf(entry);
    }
  }

  private static Map<String, Entry> entriesByName(Update update) {
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

  private static int estimatedBytesOf(Entry entry) {
    return entry.json().length() + SEPARATOR_BYTES;
  }
}
