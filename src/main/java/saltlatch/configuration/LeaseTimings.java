package saltlatch.configuration;

import saltlatch.api.Ticks;

/**
 * The durations of configuration leases, derived from the interval at which a node renews. In
 * ticks.
 *
 * @param renewalTicks the longest interval between two renewals of a node
 */
public record LeaseTimings(long renewalTicks) {
  /**
   * The default interval: a change becomes active at all nodes within seconds, at a cost of one
   * call per second from each node.
   */
  public static final long DEFAULT_RENEWAL_TICKS = Ticks.PER_SECOND;

  private static final int RENEWALS_PER_LEASE = 3; // a node keeps its lease if 2 in a row are lost
  private static final double MAX_CLOCK_DRIFT = 0.01; // of the elapsed time
  // longest iteration of an event loop, after which everything that it decided has been sent
  private static final long MAX_LOOP_TURN_TICKS = 200 * Ticks.PER_MILLISECOND;
  // fraction of the interval over which renewals are spread, so that nodes do not call all at once
  private static final double RENEWAL_JITTER = 0.1;

  /**
   * Returns how long a node may act on a version after it sent the renewal that confirmed the
   * version, measured by the node's clock.
   */
  public long leaseTicks() {
    return RENEWALS_PER_LEASE * renewalTicks;
  }

  /**
   * Returns the time, measured by any node's clock, after which a lease has expired by its holder's
   * clock.
   */
  public long leaseExpiryTicks() {
    return (long) Math.ceil(leaseTicks() * (1 + 4 * MAX_CLOCK_DRIFT));
  }

  /** Returns the longest time for which two nodes can act on conflicting versions. */
  public long maxConflictTicks() {
    return (long) Math.ceil(leaseTicks() * (1 + 2 * MAX_CLOCK_DRIFT)) + MAX_LOOP_TURN_TICKS;
  }

  /**
   * Returns when the next renewal is due.
   *
   * @param draw a random number from 0 to 1, for the jitter
   */
  long nextRenewalAtTicks(long nowTicks, double draw) {
    return nowTicks + (long) (renewalTicks * (1 - RENEWAL_JITTER * draw));
  }
}
