package saltlatch.distribution;

import java.util.SplittableRandom;

/**
 * Selects the upstream to follow. One watch is open at a time. An upstream that fails, is silent or
 * has an older list than this relay is retried only after a delay.
 */
final class UpstreamSelector {
  /**
   * Time without data after which an upstream is left, ms: two keep-alive intervals plus a margin.
   */
  static final long SILENCE_TIMEOUT_MS = 4_500;
  /**
   * Time for a preferred upstream to answer when this relay returns to it, ms. It is short because
   * no updates are received meanwhile.
   */
  static final long RETURN_TIMEOUT_MS = 1_500;
  /** Age at which a working watch clears its upstream's failure counts, ms. */
  static final long STABLE_AFTER_MS = 10_000;
  /**
   * Time to wait for the first list if another upstream is available, ms; doubled with each failure
   * counted for the upstream.
   */
  static final long FIRST_LIST_TIMEOUT_MS = 15_000;

  private static final int MAX_FIRST_LIST_DOUBLINGS = 5;
  private static final Backoff AFTER_FAILURE = new Backoff(50, 500, 15_000);
  private static final Backoff AFTER_BEHIND = new Backoff(2_000, 5_000, 300_000);
  private static final Backoff AFTER_MALFORMED = new Backoff(30_000, 60_000, 900_000);
  private static final Backoff RETURN_DELAY = new Backoff(20_000, 60_000, 900_000);
  private static final int NONE = -1;

  /** Failure counts and retry times of one upstream. */
  private static final class Upstream {
    int failures;
    int malformed;
    int returnAttempts;
    long retryAtMs;
    long returnAtMs;
  }

  private final Upstream[] upstreams;
  private final SplittableRandom random;
  private final Replica replica;
  private final DistributorActions actions;

  private int current = NONE;
  private int lastOpened = NONE;
  /** The upstream that was left to try a preferred one, or {@link #NONE}. */
  private int fallback = NONE;
  private boolean stopped = true;
  private boolean answered;
  /** Whether a snapshot was requested and no usable update was received since. */
  private boolean snapshotRequested;
  private boolean behind;
  private long openedAtMs;
  private long aliveAtMs;
  private boolean everUpToDate;
  private long upToDateAtMs;
  private long failedCount;
  private long malformedCount;

  UpstreamSelector(int count, long seed, Replica replica, DistributorActions actions) {
    upstreams = new Upstream[count];
    for (int upstream = 0; upstream < count; upstream++) {
      upstreams[upstream] = new Upstream();
    }
    random = new SplittableRandom(seed);
    this.replica = replica;
    this.actions = actions;
  }

  /** Opens the first upstream. */
  void start(long now) {
    stopped = false;
    openNext(now);
  }

  /** Closes the watch and opens no other. */
  void stop() {
    stopped = true;
    if (current != NONE) {
      close(DistributorActions.Reason.STOPPING);
    }
  }

  /** Returns whether the upstream is the one followed; events of others are ignored. */
  boolean follows(int upstream) {
    return upstream == current;
  }

  /** Returns the upstream followed, or -1 if none is. */
  int current() {
    return current;
  }

  /**
   * Reports that the upstream accepted the watch. This does not show that its list is up to date.
   */
  void answered(long now) {
    answered = true;
    aliveAtMs = now;
  }

  /** Reports that any data was received from the upstream. */
  void alive(long now) {
    answered(now);
    if (behind || !replica.hasList()) {
      return;
    }
    upToDateAtMs = now;
    everUpToDate = true;
    if (now - openedAtMs >= STABLE_AFTER_MS) {
      clearFailures();
    }
  }

  /**
   * Reports that the upstream has the same version as this relay, either already or because its
   * update was applied.
   */
  void upToDate(long now) {
    behind = false;
    snapshotRequested = false;
    alive(now);
  }

  /**
   * Reports that the upstream has an older list than this relay; switches to another upstream if
   * one is available.
   */
  void fellBehind(long now) {
    behind = true;
    alive(now);
    switchUpstream(now);
  }

  /**
   * Reopens the watch to receive a snapshot, because the upstream sent changes of a later series.
   * If the watch already requested a snapshot, the upstream is treated as malformed.
   */
  void reopenForSnapshot(long now) {
    if (snapshotRequested) {
      malformed(now);
      return;
    }
    int upstream = current;
    close(DistributorActions.Reason.SUPERSEDED);
    open(upstream, Version.NONE, now);
  }

  /** Closes the watch because the upstream sent unusable data, and opens the next one. */
  void malformed(long now) {
    int upstream = current;
    close(DistributorActions.Reason.MALFORMED);
    delayMalformed(upstream, now);
    openNext(now);
  }

  /** Reports that the watch has ended with a failure, and opens the next one. */
  void failed(Distributor.Failure failure, long now) {
    int upstream = current;
    current = NONE;
    if (failure == Distributor.Failure.MALFORMED) {
      delayMalformed(upstream, now);
    } else {
      delayFailed(upstream, now);
    }
    openNext(now);
  }

  /**
   * Leaves an upstream that is silent, behind or has sent no list; opens one whose delay is over;
   * returns to a preferred one.
   */
  void tick(long now) {
    if (stopped) {
      return;
    }
    if (current == NONE) {
      openNext(now);
    } else if (now >= silentAtMs()) {
      leaveSilent(now);
    } else if (mustSwitch(now)) {
      switchUpstream(now);
    } else if (shouldReturn(now)) {
      returnTo(preferredDueForReturn(now), now);
    }
  }

  /** Returns when {@link #tick} must be called next, in ms. */
  long nextTickAtMs() {
    if (stopped) {
      return Long.MAX_VALUE;
    }
    if (current == NONE) {
      return earliestRetryAtMs();
    }
    return Math.min(silentAtMs(), Math.min(switchDueAtMs(), returnDueAtMs()));
  }

  /**
   * Returns the time in ms since an up-to-date upstream last sent data, 0 if that is within {@link
   * #SILENCE_TIMEOUT_MS}, or -1 before the first list.
   */
  long staleMs(long now) {
    if (!everUpToDate) {
      return -1;
    }
    return now - upToDateAtMs <= SILENCE_TIMEOUT_MS ? 0 : now - upToDateAtMs;
  }

  /** Returns the number of failed watches. */
  long failedCount() {
    return failedCount;
  }

  /** Returns the number of watches that failed because of unusable data. */
  long malformedCount() {
    return malformedCount;
  }

  private void openNext(long now) {
    boolean useFallback = fallback != NONE && upstreams[fallback].retryAtMs <= now;
    int next = useFallback ? fallback : nextInOrder(now);
    fallback = NONE;
    if (next != NONE) {
      open(next, replica.version(), now);
    }
  }

  private int nextInOrder(long now) {
    for (int step = 1; step <= upstreams.length; step++) {
      int upstream = Math.floorMod(lastOpened + step, upstreams.length);
      if (upstreams[upstream].retryAtMs <= now) {
        return upstream;
      }
    }
    return NONE;
  }

  private void open(int upstream, Version since, long now) {
    current = upstream;
    lastOpened = upstream;
    answered = false;
    behind = false;
    snapshotRequested = since.equals(Version.NONE);
    openedAtMs = now;
    aliveAtMs = now;
    actions.openUpstream(upstream, since);
  }

  private void close(DistributorActions.Reason reason) {
    actions.closeUpstream(current, reason);
    current = NONE;
  }

  private void delayFailed(int upstream, long now) {
    failedCount++;
    Upstream state = upstreams[upstream];
    state.retryAtMs = now + AFTER_FAILURE.delayMs(state.failures++, random);
    delayReturn(state, now);
  }

  private void delayMalformed(int upstream, long now) {
    failedCount++;
    malformedCount++;
    Upstream state = upstreams[upstream];
    state.retryAtMs = now + AFTER_MALFORMED.delayMs(state.malformed++, random);
    delayReturn(state, now);
  }

  private void delayBehind(int upstream, long now) {
    Upstream state = upstreams[upstream];
    state.retryAtMs = now + AFTER_BEHIND.delayMs(state.failures++, random);
    delayReturn(state, now);
  }

  private void delayReturn(Upstream state, long now) {
    state.returnAtMs = Math.max(state.retryAtMs,
        now + RETURN_DELAY.delayMs(state.returnAttempts++, random));
  }

  private void clearFailures() {
    upstreams[current].failures = 0;
    upstreams[current].malformed = 0;
    upstreams[current].returnAttempts = 0;
    fallback = NONE;
  }

  private long silentAtMs() {
    boolean returning = fallback != NONE && !answered;
    return aliveAtMs + (returning ? RETURN_TIMEOUT_MS : SILENCE_TIMEOUT_MS);
  }

  private void leaveSilent(long now) {
    int upstream = current;
    close(DistributorActions.Reason.SILENT);
    delayFailed(upstream, now);
    openNext(now);
  }

  private boolean mustSwitch(long now) {
    return now >= switchDueAtMs();
  }

  /**
   * Returns when an upstream that is behind or has sent no list is left for another, in ms; never
   * if there is no other.
   */
  private long switchDueAtMs() {
    long otherRetryAtMs = earliestOtherRetryAtMs();
    if (behind) {
      return otherRetryAtMs;
    }
    if (replica.hasList() || otherRetryAtMs == Long.MAX_VALUE) {
      return Long.MAX_VALUE;
    }
    int doublings = Math.min(upstreams[current].failures, MAX_FIRST_LIST_DOUBLINGS);
    return Math.max(otherRetryAtMs, openedAtMs + (FIRST_LIST_TIMEOUT_MS << doublings));
  }

  private void switchUpstream(long now) {
    if (earliestOtherRetryAtMs() > now) {
      return;
    }
    int upstream = current;
    close(DistributorActions.Reason.SUPERSEDED);
    delayBehind(upstream, now);
    openNext(now);
  }

  private long earliestRetryAtMs() {
    long earliest = Long.MAX_VALUE;
    for (Upstream upstream : upstreams) {
      earliest = Math.min(earliest, upstream.retryAtMs);
    }
    return earliest;
  }

  private long earliestOtherRetryAtMs() {
    long earliest = Long.MAX_VALUE;
    for (int upstream = 0; upstream < upstreams.length; upstream++) {
      if (upstream != current) {
        earliest = Math.min(earliest, upstreams[upstream].retryAtMs);
      }
    }
    return earliest;
  }

  private boolean shouldReturn(long now) {
    return now >= returnDueAtMs();
  }

  /**
   * Returns when a preferred upstream is tried, in ms. This requires a list, so that the preferred
   * upstream need not send a snapshot, and a current watch that is answered and up to date.
   */
  private long returnDueAtMs() {
    if (!replica.hasList() || behind || !answered) {
      return Long.MAX_VALUE;
    }
    long earliest = Long.MAX_VALUE;
    for (int upstream = 0; upstream < current; upstream++) {
      earliest = Math.min(earliest, upstreams[upstream].returnAtMs);
    }
    return earliest == Long.MAX_VALUE ? earliest : Math.max(earliest, openedAtMs + STABLE_AFTER_MS);
  }

  private int preferredDueForReturn(long now) {
    for (int upstream = 0; upstream < current; upstream++) {
      if (upstreams[upstream].returnAtMs <= now) {
        return upstream;
      }
    }
    return NONE;
  }

  private void returnTo(int upstream, long now) {
    int previous = current;
    close(DistributorActions.Reason.SUPERSEDED);
    open(upstream, replica.version(), now);
    fallback = previous;
  }
}
