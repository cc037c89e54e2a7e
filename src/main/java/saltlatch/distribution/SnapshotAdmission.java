package saltlatch.distribution;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Decides which watcher is sent a snapshot and when, within a budget of bytes per second. Watchers
 * without a list are first, then those that have waited longest. In any second the admitted bytes
 * do not exceed the budget plus one snapshot.
 */
final class SnapshotAdmission {
  /**
   * Fraction of the budget that can accumulate while no watcher waits. The remaining fraction is
   * the refill rate, so that a burst plus one second of refill equals the budget.
   */
  private static final double BURST_FRACTION = 0.1;

  private static final double MS_PER_SECOND = 1000.0;

  private static final Comparator<WatcherState> ORDER = Comparator
      .comparing((WatcherState watcher) -> watcher.hasList)
      .thenComparingLong(watcher -> watcher.waitingSinceMs)
      .thenComparingLong(watcher -> watcher.id);

  private final double burstBytes;
  private final double bytesPerMs;
  private final TreeSet<WatcherState> queue = new TreeSet<>(ORDER);
  private double availableBytes;
  private long refilledAtMs;

  SnapshotAdmission(long bytesPerSecond) {
    burstBytes = bytesPerSecond * BURST_FRACTION;
    bytesPerMs = bytesPerSecond * (1 - BURST_FRACTION) / MS_PER_SECOND;
    availableBytes = burstBytes;
  }

  /** Queues a watcher that needs a snapshot and has no message in flight. */
  void add(WatcherState watcher) {
    queue.add(watcher);
  }

  /**
   * Removes a watcher from the queue, because another message is sent to it, it has disconnected or
   * it no longer needs a snapshot.
   */
  void remove(WatcherState watcher) {
    queue.remove(watcher);
  }

  /**
   * Returns the next watcher to be sent a snapshot, or null if no watcher waits or the budget is
   * exhausted.
   */
  WatcherState nextAdmissible(long now) {
    refill(now);
    return queue.isEmpty() || availableBytes < 0 ? null : queue.first();
  }

  /** Removes the watcher from the queue and charges the bytes of its snapshot to the budget. */
  void admit(WatcherState watcher, long bytes) {
    availableBytes -= bytes;
    queue.remove(watcher);
  }

  /**
   * Returns the earliest time at which {@link #nextAdmissible} may return a watcher, in ms, or
   * {@link Long#MAX_VALUE} if no watcher waits.
   */
  long nextAdmissionAtMs() {
    if (queue.isEmpty()) {
      return Long.MAX_VALUE;
    }
    return availableBytes >= 0 ? refilledAtMs
        : refilledAtMs + (long) Math.ceil(-availableBytes / bytesPerMs);
  }

  private void refill(long now) {
    if (now > refilledAtMs) {
      availableBytes = Math.min(burstBytes, availableBytes + (now - refilledAtMs) * bytesPerMs);
      refilledAtMs = now;
    }
  }
}
