package saltlatch.wire.discovery;

import saltlatch.api.Ticks;

/**
 * When the next watch may be opened. Owned by the {@link DiscoveryClient}; times are ticks.
 *
 * <p>Watches are opened some time apart, since an agent that resets each of them at once must not
 * be flooded. After a list that is too large the time apart grows: the same list would come again,
 * and megabytes would be read for nothing.
 */
final class WatchPacing {
  private static final long MIN_INTERVAL_TICKS = Ticks.PER_SECOND;
  // the list may be cut down at once
  private static final long MIN_BACKOFF_TICKS = Ticks.PER_SECOND;
  // a list of 4 MB read in vain each time comes to 14 KB/s
  private static final long MAX_BACKOFF_TICKS = 300 * Ticks.PER_SECOND;
  private static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  private long openedAtTicks = NEVER_TICKS;
  private long notBeforeTicks = NEVER_TICKS; // for the backoff
  private long backoffTicks; // behind the last list, which was too large; 0: it was not

  long nextOpeningAtTicks(long nowTicks) {
    return Math.max(nowTicks, Math.max(openedAtTicks + MIN_INTERVAL_TICKS, notBeforeTicks));
  }

  void opened(long nowTicks) {
    openedAtTicks = nowTicks;
  }

  /** A list was too large. Gives the time for which no watch is opened. */
  long listRefused(long nowTicks) {
    backoffTicks = backoffTicks == 0 ? MIN_BACKOFF_TICKS
        : Math.min(MAX_BACKOFF_TICKS, 2 * backoffTicks);
    notBeforeTicks = nowTicks + backoffTicks;
    return backoffTicks;
  }

  void listTaken() {
    backoffTicks = 0;
  }

  /** Another agent has given no reason to wait. */
  void addressChanged() {
    openedAtTicks -= MIN_INTERVAL_TICKS;
    notBeforeTicks = openedAtTicks;
    backoffTicks = 0;
  }
}
