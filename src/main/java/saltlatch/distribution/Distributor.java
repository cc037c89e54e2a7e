package saltlatch.distribution;

/**
 * Decision logic of one relay, without I/O: it receives events and calls {@link
 * DistributorActions}. It follows one of several upstreams, keeps the list with a bounded change
 * log, and sends each watcher the changes or the snapshot that it needs. Times are in milliseconds
 * of one monotonic clock. All events must be reported on one thread; they may be reported from
 * within an action.
 */
public final class Distributor {
  /** Reason why an upstream's watch ended. */
  public enum Failure {
    /** The connection was refused, reset, closed or timed out. */
    CONNECTION,
    /** The response status was not 200. */
    STATUS,
    /** A line was not a valid list or exceeded a limit. */
    MALFORMED
  }

  private final Replica replica;
  private final UpstreamSelector upstreams;
  private final WatcherDispatcher watchers;
  private final Outbox outbox;
  private long olderPassedOver;

  /**
   * Creates a distributor.
   *
   * @param limits    the relay's limits
   * @param upstreams number of upstreams; they are numbered from 0 in order of preference
   * @param seed      seed of the random delays
   * @param actions   executes the distributor's actions
   */
  public Distributor(RelayLimits limits, int upstreams, long seed, DistributorActions actions) {
    outbox = new Outbox(actions);
    replica = new Replica(limits.entries(), limits.logChanges());
    this.upstreams = new UpstreamSelector(upstreams, seed, replica, outbox);
    watchers = new WatcherDispatcher(limits, replica, outbox);
  }

  /** Opens the first upstream. */
  public void start(long now) {
    upstreams.start(now);
    outbox.release();
  }

  /** Reports that the upstream accepted the watch. */
  public void upstreamOpened(int upstream, long now) {
    if (upstreams.follows(upstream)) {
      upstreams.answered(now);
    }
  }

  /** Reports an update received from the upstream. */
  public void upstreamUpdated(int upstream, Update update, long now) {
    if (upstreams.follows(upstream)) {
      apply(update, now);
      outbox.release();
    }
  }

  /** Reports an empty line, or received data of an incomplete line. */
  public void upstreamAlive(int upstream, long now) {
    if (upstreams.follows(upstream)) {
      upstreams.alive(now);
    }
  }

  /** Reports that the upstream's watch has ended. */
  public void upstreamFailed(int upstream, Failure failure, long now) {
    if (upstreams.follows(upstream)) {
      upstreams.failed(failure, now);
      outbox.release();
    }
  }

  /** Reports a watcher that requests the changes after version {@code since}. */
  public void watcherOpened(long watcher, Version since, long now) {
    watchers.opened(watcher, since, now);
    outbox.release();
  }

  /** Reports that the socket accepted all data sent to this watcher. */
  public void watcherDrained(long watcher, long now) {
    watchers.drained(watcher, now);
    outbox.release();
  }

  /** Reports that the socket accepted part of a message: the watcher is slow but not stalled. */
  public void watcherProgressed(long watcher, long now) {
    watchers.progressed(watcher, now);
  }

  /** Reports that the watcher's connection has ended. */
  public void watcherClosed(long watcher, long now) {
    watchers.closed(watcher);
  }

  /** Executes everything that is due at the given time. */
  public void tick(long now) {
    upstreams.tick(now);
    watchers.tick(now);
    outbox.release();
  }

  /**
   * Returns when {@link #tick} must be called next. The host must query this after each event; if
   * the time is in the past, the tick is due immediately.
   */
  public long nextTickAtMs() {
    return Math.min(upstreams.nextTickAtMs(), watchers.nextTickAtMs());
  }

  /** Closes all watches, for an orderly shutdown. */
  public void stop(long now) {
    upstreams.stop();
    watchers.stop();
    outbox.release();
  }

  /** Returns the state as shown to operators. */
  public RelayStatus status(long now) {
    return new RelayStatus(replica.version(), replica.size(), upstreams.current(),
        upstreams.staleMs(now), watchers.size(), watchers.behind(), watchers.waiting(),
        watchers.changesSent(), watchers.coalescedSent(), watchers.snapshotsSent(),
        watchers.refused(), watchers.stalled(), upstreams.failedCount(), upstreams.malformedCount(),
        olderPassedOver, replica.log().size());
  }

  private void apply(Update update, long now) {
    Version previous = replica.version();
    Replica.Outcome outcome = replica.apply(update);
    switch (outcome) {
      case APPLIED -> {
        upstreams.upToDate(now);
        watchers.listChanged(previous, now);
      }
      case SAME_VERSION -> upstreams.upToDate(now);
      case OLDER_VERSION -> ignoreOlder(update, now);
      case MISSING_BASE -> upstreams.reopenForSnapshot(now);
      case TOO_MANY_ENTRIES -> upstreams.malformed(now);
      default -> throw new IllegalStateException("unexpected outcome of an update: " + outcome);
    }
  }

  private void ignoreOlder(Update update, long now) {
    olderPassedOver++;
    if (update.snapshot() || update.version().series() < replica.version().series()) {
      upstreams.fellBehind(now);
    } else {
      upstreams.alive(now);
    }
  }
}
