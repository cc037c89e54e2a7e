package saltlatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The latest change of each name within one series, oldest first and limited in number. A watcher
 * at an index needs all log entries after that index. They are already coalesced: the log contains
 * each name once, at its last change.
 */
final class ChangeLog {
  /** Ranges kept; if there are more, the log is truncated to the end of the oldest. */
  private static final int MAX_DIFFED_RANGES = 64;

  private record Position(long index, long sequence) implements Comparable<Position> {
    @Override
    public int compareTo(Position other) {
      int byIndex = Long.compare(index, other.index);
      return byIndex != 0 ? byIndex : Long.compare(sequence, other.sequence);
    }
  }

  private final int maxChanges;
  private final TreeMap<Position, Entry> changes = new TreeMap<>();
  private final Map<String, Position> positions = new HashMap<>();
  private final TreeMap<Long, Long> diffedRanges = new TreeMap<>();
  private long oldestResumableIndex;
  private long changesLogged;

  ChangeLog(int maxChanges) {
    this.maxChanges = maxChanges;
  }

  /** Clears the log; from now on only watchers at {@code index} or later can resume. */
  void reset(long index) {
    changes.clear();
    positions.clear();
    diffedRanges.clear();
    oldestResumableIndex = index;
  }

  /** Logs the state of a name that changed at {@code index}. */
  void add(long index, Entry entry) {
    Position position = new Position(index, changesLogged++);
    Position previous = positions.put(entry.name(), position);
    if (previous != null) {
      changes.remove(previous);
    }
    changes.put(position, entry);
    while (changes.size() > maxChanges) {
      dropOldest();
    }
  }

  /**
   * Records that the changes between two indexes were computed as the difference of two snapshots.
   * They lack changes that were reverted in between, so a watcher whose index is strictly between
   * the two cannot resume.
   */
  void addDiffedRange(long from, long to) {
    if (to - from <= 1) {
      return;
    }
    diffedRanges.put(from, to);
    if (diffedRanges.size() > MAX_DIFFED_RANGES) {
      oldestResumableIndex = Math.max(oldestResumableIndex,
          diffedRanges.pollFirstEntry().getValue());
    }
  }

  /** Returns whether the log has every change after {@code index}. */
  boolean covers(long index) {
    if (index < oldestResumableIndex) {
      return false;
    }
    Map.Entry<Long, Long> range = diffedRanges.lowerEntry(index);
    return range == null || index >= range.getValue();
  }

  /**
   * Returns the latest state of each name that changed after {@code index}, in order of change.
   */
  List<Entry> since(long index) {
    return new ArrayList<>(changes.tailMap(new Position(index, Long.MAX_VALUE), false).values());
  }

  /** Returns the number of changed entries in the log. */
  int size() {
    return changes.size();
  }

  /** Returns the total number of changes logged since the start. */
  long changesLogged() {
    return changesLogged;
  }

  private void dropOldest() {
    Map.Entry<Position, Entry> oldest = changes.pollFirstEntry();
    positions.remove(oldest.getValue().name());
    oldestResumableIndex = Math.max(oldestResumableIndex, oldest.getKey().index());
    while (!diffedRanges.isEmpty()
        && diffedRanges.firstEntry().getValue() <= oldestResumableIndex) {
      diffedRanges.pollFirstEntry();
    }
  }
}
