package saltlatch.distribution;

/**
 * The decisions of one relay, without I/O: events in, {@link DistributorActions} out. It follows
 * one of several upstreams, keeps the list with a bounded log of its changes, and sends its
 * watchers what they lack. Times are in milliseconds of one monotonic clock. Events may be reported
 * from within an action; all come from one thread.
 */
public final class Distributor {
  /** Why an upstream's watch ended. */
  public enum Failure {
    /** Refused, reset, timed out or ended. */
    CONNECTION,
    /** Another status than 200. */
    STATUS,
    /** A line that is no list, or one beyond the bounds. */
    MALFORMED
  }

  private final Replica replica;
  private final UpstreamSelector upstreams;
  private final WatcherDispatcher watchers;
  private final Outbox outbox;
  private long olderPassedOver;

  /** A distributor over {@code upstreams} upstreams, in order of preference. */
  public Distributor(RelayLimits limits, int upstreams, long seed, DistributorActions actions) {
    outbox = new Outbox(actions);
    replica = new Replica(limits.entries(), limits.logChanges());
    this.upstreams = new UpstreamSelector(upstreams, seed, replica, outbox);
    watchers = new WatcherDispatcher(limits, replica, outbox);
  }

  /** Starts: the first upstream is opened. */
  public void start(long now) {
    upstreams.start(now);
    outbox.release();
  }

  /** The upstream's watch was answered. */
  public void upstreamOpened(int upstream, long now) {
    if (upstreams.follows(upstream)) {
      upstreams.answered(now);
    }
  }

  /** A line of the watch. */
  public void upstreamUpdated(int upstream, Update update, long now) {
    if (upstreams.follows(upstream)) {
      apply(update, now);
      outbox.release();
    }
  }

  /** An empty line, or progress within a long one. */
  public void upstreamAlive(int upstream, long now) {
    if (upstreams.follows(upstream)) {
      upstreams.alive(now);
    }
  }

  /** The watch has ended. */
  public void upstreamFailed(int upstream, Failure failure, long now) {
    if (upstreams.follows(upstream)) {
      upstreams.failed(failure, now);
      outbox.release();
    }
  }

  /** A watcher asks for what comes after {@code since}. */
  public void watcherOpened(long watcher, Version since, long now) {
    watchers.opened(watcher, since, now);
    outbox.release();
  }

  /** The socket has taken all that was sent to this watcher. */
  public void watcherDrained(long watcher, long now) {
    watchers.drained(watcher, now);
    outbox.release();
  }

  /** The socket has taken a part of a message: the watcher is slow, not stalled. */
  public void watcherProgressed(long watcher, long now) {
    watchers.progressed(watcher, now);
  }

  /** The watcher's connection has ended. */
  public void watcherClosed(long watcher, long now) {
    watchers.closed(watcher);
  }

  /** Does what falls due by time. */
  public void tick(long now) {
    upstreams.tick(now);
    watchers.tick(now);
    outbox.release();
  }

  /**
   * When {@link #tick} is next wanted, to be asked after each event; a time that is over means at
   * once.
   */
  public long nextTickAtMs() {
    return Math.min(upstreams.due(), watchers.due());
  }

  /** Closes all watches, at a planned end. */
  public void stop(long now) {
    upstreams.stop();
    watchers.stop();
    outbox.release();
  }

  /** What operators read. */
  public RelayStatus status(long now) {
    return new RelayStatus(replica.version(), replica.size(), upstreams.current(),
        upstreams.staleMs(now), watchers.size(), watchers.behind(), watchers.waiting(),
        watchers.changesSent(), watchers.coalescedSent(), watchers.snapshotsSent(),
        watchers.refused(), watchers.stalled(), upstreams.failures(), upstreams.malformedCount(),
        olderPassedOver, replica.log().size());
  }

  private void apply(Update update, long now) {
    Version former = replica.version();
    switch (replica.apply(update)) {
      case APPLIED -> {
        upstreams.level(now);
        watchers.listChanged(former, now);
      }
      case SAME -> upstreams.level(now);
      case OLDER -> older(update, now);
      case NO_BASE -> upstreams.reopenFromNone(now);
      case TOO_LONG -> upstreams.malformed(now);
      default -> throw new IllegalStateException("no such outcome");
    }
  }

  private void older(Update update, long now) {
    olderPassedOver++;
    if (update.snapshot() || update.version().series() < replica.version().series()) {
      upstreams.fallsBehind(now);
    } else {
      upstreams.alive(now);
    }
  }
}
