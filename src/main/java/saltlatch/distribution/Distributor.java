package saltlatch.distribution;

/**
 * The decisions of one relay, without I/O: events in, {@link Actions} out. It follows one of several upstreams, keeps the list
 * with a bounded log of its changes, and tells its watchers what they lack. Times are in milliseconds of one monotonic clock.
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

  /** A distributor over {@code upstreams} upstreams, in order of preference. */
  public Distributor(Limits limits, int upstreams, long seed, Actions actions) {}

  /** Starts: the first upstream is opened. */
  public void start(long now) {}

  /** The upstream's watch was answered. */
  public void upstreamOpened(int upstream, long now) {}

  /** A line of the watch. */
  public void upstreamTold(int upstream, Update update, long now) {}

  /** An empty line, or progress within a long one. */
  public void upstreamAlive(int upstream, long now) {}

  /** The watch has ended. */
  public void upstreamFailed(int upstream, Failure failure, long now) {}

  /** A watcher asks for what comes after {@code since}. */
  public void watcherOpened(long watcher, Version since, long now) {}

  /** The socket has taken all that was sent to this watcher. */
  public void watcherDrained(long watcher, long now) {}

  /** The watcher's connection has ended. */
  public void watcherClosed(long watcher, long now) {}

  /** Does what falls due by time. */
  public void tick(long now) {}

  /** When {@link #tick} is next wanted. */
  public long nextTick() {
    return Long.MAX_VALUE;
  }

  /** Closes all watches, at a planned end. */
  public void stop(long now) {}

  /** What operators read. */
  public Status status(long now) {
    return null;
  }
}
