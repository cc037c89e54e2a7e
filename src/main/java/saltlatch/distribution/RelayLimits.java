package saltlatch.distribution;

/**
 * Limits of one relay, from its configuration.
 *
 * @param watchers               maximum number of concurrent watchers, including relays of the next
 *     tier
 * @param entries                maximum number of entries of the list
 * @param logChanges             maximum number of changed entries kept for watchers that resume; a
 *     watcher that needs older changes is sent a snapshot
 * @param snapshotBytesPerSecond budget for snapshots to all watchers together, bytes per second
 */
public record RelayLimits(int watchers, int entries, int logChanges, long snapshotBytesPerSecond) {
  /** Rejects limits below 1. */
  public RelayLimits {
    if (watchers < 1 || entries < 1 || logChanges < 1 || snapshotBytesPerSecond < 1) {
      throw new IllegalArgumentException("relay limits must be at least 1: watchers=" + watchers
          + ", entries=" + entries + ", logChanges=" + logChanges + ", snapshotBytesPerSecond="
          + snapshotBytesPerSecond);
    }
  }
}
