package saltlatch.distribution;

/** State of one watcher: its version and the message being sent to it. */
final class WatcherState {
  final long id;
  /** The watcher's version after it applies the message in flight, if any. */
  Version version;
  /** Whether the watcher has a list, or a snapshot in flight. */
  boolean hasList;
  /** Whether a message is in flight; no second one is queued. */
  boolean messageInFlight;
  /**
   * Whether the watcher waits for a snapshot, because it has no list or a version that it cannot
   * resume from.
   */
  boolean needsSnapshot;
  /**
   * When the wait for a snapshot started, ms. A watcher without a list waits from the moment it
   * connected.
   */
  long waitingSinceMs;
  /** When the last message was passed to the socket, ms. */
  long sentAtMs;
  /** When the socket last accepted data, or was last given a message to write, ms. */
  long progressedAtMs;

  WatcherState(long id, Version since, long now) {
    this.id = id;
    version = since;
    hasList = !since.equals(Version.NONE);
    waitingSinceMs = now;
    progressedAtMs = now;
  }

  /** Returns whether the watcher has no list or a version older than {@code latest}. */
  boolean isBehind(Version latest) {
    return !hasList || version.compareTo(latest) < 0;
  }
}
