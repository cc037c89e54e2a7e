package saltlatch.distribution;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes what watchers are sent, one instance for all who stand at the same position. */
final class MessageCache {
  /** A whole list is sent again for so long, ms: it costs the encoding of all entries. */
  static final long SNAPSHOT_REUSE_MS = 5_000;
  /**
   * Of the log's bound, what may have changed since a list that is sent again: who gets it must
   * still find the rest there.
   */
  private static final double REUSE_PART = 0.5;

  private final Replica replica;
  private final long reuseChanges;
  private final Map<Long, Message> changes = new HashMap<>();
  private Version changesTo = Version.NONE;
  private Message snapshot;
  private long snapshotAt;
  private long snapshotAdded;
  private long snapshotBytes;

  MessageCache(Replica replica, int logChanges) {
    this.replica = replica;
    reuseChanges = (long) (logChanges * REUSE_PART);
  }

  /** What changed since {@code index} of the series held. */
  Message changesSince(long index) {
    if (!changesTo.equals(replica.version())) {
      changes.clear();
      changesTo = replica.version();
    }
    return changes.computeIfAbsent(index,
        from -> new Message(Message.Kind.CHANGES, changesTo, entriesSince(from)));
  }

  /**
   * A whole list later than {@code than}, perhaps some seconds old; what changed since is still in
   * the log.
   */
  Message snapshot(Version than, long now) {
    if (!reusable(now) || snapshot.version().compareTo(than) <= 0) {
      snapshot = new Message(Message.Kind.SNAPSHOT, replica.version(), replica.snapshot());
      snapshotAt = now;
      snapshotAdded = replica.log().added();
      snapshotBytes = replica.bytes();
    }
    return snapshot;
  }

  /** Bytes of the list last given, estimated. */
  long snapshotBytes() {
    return snapshotBytes;
  }

  private List<Entry> entriesSince(long index) {
    return List.copyOf(replica.log().since(index));
  }

  private boolean reusable(long now) {
    if (snapshot == null || snapshot.version().series() != replica.version().series()) {
      return false;
    }
    if (snapshot.version().equals(replica.version())) {
      return true;
    }
    return now - snapshotAt <= SNAPSHOT_REUSE_MS
        && replica.log().added() - snapshotAdded <= reuseChanges;
  }
}
