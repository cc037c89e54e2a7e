package saltlatch.distribution;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The latest change of each name within one series, oldest first and bounded by their number. What
 * a watcher at some index lacks is the tail behind that index, already coalesced: a name stands in
 * the log once, where it last changed.
 */
final class ChangeLog {
  /** Leaps remembered; beyond it the log begins behind the oldest. */
  private static final int MAX_LEAPS = 64;

  private record Place(long index, long ordinal) implements Comparable<Place> {
    @Override
    public int compareTo(Place other) {
      int byIndex = Long.compare(index, other.index);
      return byIndex != 0 ? byIndex : Long.compare(ordinal, other.ordinal);
    }
  }

  private final int bound;
  private final TreeMap<Place, Entry> changes = new TreeMap<>();
  private final Map<String, Place> places = new HashMap<>();
  private final TreeMap<Long, Long> leaps = new TreeMap<>();
  private long floor;
  private long added;

  ChangeLog(int bound) {
    this.bound = bound;
  }

  /** Forgets all: only who stands at {@code index} or later can get changes from here on. */
  void restart(long index) {
    changes.clear();
    places.clear();
    leaps.clear();
    floor = index;
  }

  /** Logs the latest state of a name, as of {@code index}. */
  void add(long index, Entry entry) {
    Place place = new Place(index, added++);
    Place former = places.put(entry.name(), place);
    if (former != null) {
      changes.remove(former);
    }
    changes.put(place, entry);
    while (changes.size() > bound) {
      dropOldest();
    }
  }

  /**
   * Notes that the changes from one index to another were found by comparing two whole lists. What
   * was changed and changed back in between is not among them, so that who stands strictly between
   * the two can't get changes.
   */
  void leapt(long from, long to) {
    if (to - from <= 1) {
      return;
    }
    leaps.put(from, to);
    if (leaps.size() > MAX_LEAPS) {
      floor = Math.max(floor, leaps.pollFirstEntry().getValue());
    }
  }

  /** Whether what changed after {@code index} is all here. */
  boolean reaches(long index) {
    if (index < floor) {
      return false;
    }
    Map.Entry<Long, Long> leap = leaps.lowerEntry(index);
    return leap == null || index >= leap.getValue();
  }

  /**
   * The latest state of each name that changed after {@code index}, in the order of the changes.
   */
  List<Entry> since(long index) {
    return new ArrayList<>(changes.tailMap(new Place(index, Long.MAX_VALUE), false).values());
  }

  /** Changed entries held. */
  int size() {
    return changes.size();
  }

  /** Changes ever logged. */
  long added() {
    return added;
  }

  private void dropOldest() {
    Map.Entry<Place, Entry> oldest = changes.pollFirstEntry();
    places.remove(oldest.getValue().name());
    floor = Math.max(floor, oldest.getKey().index());
    while (!leaps.isEmpty() && leaps.firstEntry().getValue() <= floor) {
      leaps.pollFirstEntry();
    }
  }
}
