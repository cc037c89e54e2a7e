package saltlatch.distribution;

/** Actions of a distributor; a host executes them and reports the outcomes as events. */
public interface DistributorActions {
  /** Reason for closing the connection of a watcher or an upstream. */
  enum Reason {
    /** The maximum number of watchers is reached. */
    TOO_MANY_WATCHERS,
    /** The watcher did not read a message within the allowed time. */
    STALLED,
    /** The peer sent unusable data. */
    MALFORMED,
    /** The upstream sent nothing within the allowed time. */
    SILENT,
    /** Another watch replaces this one. */
    SUPERSEDED,
    /** This process is shutting down. */
    STOPPING
  }

  /**
   * Opens a watch at an upstream, starting after version {@code since}. At most one watch is open
   * at a time.
   *
   * @param upstream index of the upstream in the configuration
   */
  void openUpstream(int upstream, Version since);

  /** Closes the watch at an upstream; no event results from it. */
  void closeUpstream(int upstream, Reason reason);

  /**
   * Writes a message. The host calls {@link Distributor#watcherDrained} after the socket accepted
   * all of it.
   */
  void send(long watcher, Message message);

  /** Closes a watcher's connection; no event results from it. */
  void closeWatcher(long watcher, Reason reason);
}
