package saltlatch.distribution;

/** What the distributor wants done; a host carries it out and reports the outcome as events. */
public interface DistributorActions {
  /** Why a watcher's or an upstream's connection is ended. */
  enum Reason {
    /** More watchers than this relay holds. */
    TOO_MANY_WATCHERS,
    /** The watcher took nothing for longer than is allowed. */
    STALLED,
    /** The other side sent what can't be used. */
    MALFORMED,
    /** The upstream said nothing for longer than is allowed. */
    SILENT,
    /** Another upstream is followed instead. */
    SUPERSEDED,
    /** This process ends. */
    STOPPING
  }

  /**
   * Opens a watch at an upstream (its place in the configuration) from {@code since}; one watch is
   * open at a time.
   */
  void openUpstream(int upstream, Version since);

  /** Ends the watch at an upstream, no event follows from it. */
  void closeUpstream(int upstream, Reason reason);

  /**
   * Writes a message; {@link Distributor#watcherDrained} follows once the socket has taken all of
   * it.
   */
  void send(long watcher, Message message);

  /** Ends a watcher's connection, no event follows from it. */
  void closeWatcher(long watcher, Reason reason);
}
