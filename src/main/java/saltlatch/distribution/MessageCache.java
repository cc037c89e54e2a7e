package saltlatch.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Creates the messages to watchers: one instance for all watchers at the same version. */
final class MessageCache {
  /** Time for which a snapshot is reused, ms; a new one requires encoding all entries. */
  static final long SNAPSHOT_REUSE_MS = 5_000;
  /**
   * Fraction of the change log's capacity that may be logged after a snapshot was made before the
   * snapshot is no longer reused: its receivers need the later changes from the log.
   */
  private static final double REUSE_LOG_FRACTION = 0.5;

  private final Replica replica;
  private final long maxChangesSinceSnapshot;
  private final Map<Long, Message> changesByIndex = new HashMap<>();
  private Version changesVersion = Version.NONE;
  private Message snapshot;
  private long snapshotAtMs;
  private long loggedAtSnapshot;
  private long snapshotBytes;

  MessageCache(Replica replica, int logChanges) {
    this.replica = replica;
    maxChangesSinceSnapshot = (long) (logChanges * REUSE_LOG_FRACTION);
  }

  /** Returns the changes after {@code index} of the current series. */
  Message changesSince(long index) {
    if (!changesVersion.equals(replica.version())) {
      changesByIndex.clear();
      changesVersion = replica.version();
    }
    return changesByIndex.computeIfAbsent(index,
        from -> new Message(Message.Kind.CHANGES, changesVersion, entriesSince(from)));
  }

  /**
   * Returns a snapshot newer than {@code after}. It may lack changes of the last {@link
   * #SNAPSHOT_REUSE_MS}, which are still in the change log.
   */
  Message snapshot(Version after, long now) {
    if (!isSnapshotReusable(now) || snapshot.version().compareTo(after) <= 0) {
      snapshot = new Message(Message.Kind.SNAPSHOT, replica.version(), replica.snapshot());
      snapshotAtMs = now;
      loggedAtSnapshot = replica.log().changesLogged();
      snapshotBytes = replica.estimatedBytes();
    }
    return snapshot;
  }

  /** Returns the estimated bytes of the snapshot last returned. */
  long snapshotBytes() {
    return snapshotBytes;
  }

  private List<Entry> entriesSince(long index) {
    return List.copyOf(replica.log().since(index));
  }

  private boolean isSnapshotReusable(long now) {
    if (snapshot == null || snapshot.version().series() != replica.version().series()) {
      return false;
    }
    if (snapshot.version().equals(replica.version())) {
      return true;
    }
    return now - snapshotAtMs <= SNAPSHOT_REUSE_MS
        && replica.log().changesLogged() - loggedAtSnapshot <= maxChangesSinceSnapshot;
  }
}
