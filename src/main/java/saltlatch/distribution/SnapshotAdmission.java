package saltlatch.distribution;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Who gets a whole list when: first those that never had one, then by waiting time, within a budget
 * of bytes a second. In any second no more is admitted than the budget and one list.
 */
final class SnapshotAdmission {
  /**
   * Part of the budget that may be saved up while nobody waits; the rest is the rate at which it
   * refills.
   */
  private static final double SAVED = 0.1;

  private static final double MS = 1000.0;

  private static final Comparator<WatcherState> ORDER = Comparator
      .comparing((WatcherState watcher) -> watcher.listed)
      .thenComparingLong(watcher -> watcher.waitingSince).thenComparingLong(watcher -> watcher.id);

  private final double saved;
  private final double bytesPerMs;
  private final TreeSet<WatcherState> queue = new TreeSet<>(ORDER);
  private double allowance;
  private long countedAt;

  SnapshotAdmission(long bytesPerSecond) {
    saved = bytesPerSecond * SAVED;
    bytesPerMs = bytesPerSecond * (1 - SAVED) / MS;
    allowance = saved;
  }

  /** Queues a watcher that needs a whole list and has nothing on the way. */
  void add(WatcherState watcher) {
    queue.add(watcher);
  }

  /** Takes a watcher out: something else is sent to it, it is gone, or it needs none. */
  void remove(WatcherState watcher) {
    queue.remove(watcher);
  }

  /** The one whose turn it is, null if nobody waits or the budget allows no list now. */
  WatcherState ready(long now) {
    count(now);
    return queue.isEmpty() || allowance < 0 ? null : queue.first();
  }

  /** Admits the one that was ready to a list of so many bytes. */
  void admit(WatcherState watcher, long bytes) {
    allowance -= bytes;
    queue.remove(watcher);
  }

  /** When {@link #ready} may give one, ms. */
  long due() {
    if (queue.isEmpty()) {
      return Long.MAX_VALUE;
    }
    return allowance >= 0 ? countedAt : countedAt + (long) Math.ceil(-allowance / bytesPerMs);
  }

  private void count(long now) {
    if (now > countedAt) {
      allowance = Math.min(saved, allowance + (now - countedAt) * bytesPerMs);
      countedAt = now;
    }
  }
}
