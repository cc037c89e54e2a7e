package saltlatch.wire.discovery;

import saltlatch.api.Ticks;

/**
 * Determines when the next watch may be opened. Owned by the {@link DiscoveryClient}; times are in
 * ticks.
 *
 * <p>A minimum interval between watches prevents a flood of requests to an agent that resets each
 * watch at once. After a list that is too large the interval grows, because the same list would be
 * sent again and megabytes would be read in vain.
 */
final class WatchPacing {
  private static final long MIN_INTERVAL_TICKS = Ticks.PER_SECOND;
  // Short at first, because the list may soon be reduced.
  private static final long MIN_BACKOFF_TICKS = Ticks.PER_SECOND;
  // At this interval, refusing a list of 4 MB each time costs 14 KB/s.
  private static final long MAX_BACKOFF_TICKS = 300 * Ticks.PER_SECOND;
  private static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  private long openedAtTicks = NEVER_TICKS;
  private long notBeforeTicks = NEVER_TICKS; // end of the backoff
  private long backoffTicks; // after the last list; 0: it was not too large

  long nextOpeningAtTicks(long nowTicks) {
    return Math.max(nowTicks, Math.max(openedAtTicks + MIN_INTERVAL_TICKS, notBeforeTicks));
  }

  void opened(long nowTicks) {
    openedAtTicks = nowTicks;
  }

  /** Records a list that is too large; returns the time for which no watch is opened. */
  long listRefused(long nowTicks) {
    backoffTicks = backoffTicks == 0 ? MIN_BACKOFF_TICKS
        : Math.min(MAX_BACKOFF_TICKS, 2 * backoffTicks);
    notBeforeTicks = nowTicks + backoffTicks;
    return backoffTicks;
  }

  void listAccepted() {
    backoffTicks = 0;
  }

  /** Ends all waiting, because the agent at the new address has given no reason for it. */
  void addressChanged() {
    openedAtTicks -= MIN_INTERVAL_TICKS;
    notBeforeTicks = openedAtTicks;
    backoffTicks = 0;
  }
}
