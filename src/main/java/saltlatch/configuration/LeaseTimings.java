package saltlatch.configuration;

import saltlatch.api.Ticks;

/**
 * The times of configuration leases, all derived from how often a node renews. In ticks.
 *
 * @param renewalTicks the longest time between two renewals of a node
 */
public record LeaseTimings(long renewalTicks) {
  /** A change is active everywhere within seconds, at one call a second from each node. */
  public static final long DEFAULT_RENEWAL_TICKS = Ticks.PER_SECOND;

  private static final int RENEWALS_PER_LEASE = 3; // two lost in a row stop no node
  private static final double MAX_CLOCK_DRIFT = 0.01; // of the elapsed time
  // the longest turn of an event loop: what it decided is on its way by then
  private static final long MAX_LOOP_TURN_TICKS = 200 * Ticks.PER_MILLISECOND;
  // part of the interval over which renewals are spread, so that a fleet does not call at once
  private static final double RENEWAL_JITTER = 0.1;

  /**
   * For how long a node may act on a version after it sent the renewal that confirmed it, by the
   * node's own clock.
   */
  public long leaseTicks() {
    return RENEWALS_PER_LEASE * renewalTicks;
  }

  /** After this time by any clock, a lease granted before has run out by its holder's clock. */
  public long leaseExpiryTicks() {
    return (long) Math.ceil(leaseTicks() * (1 + 4 * MAX_CLOCK_DRIFT));
  }

  /** The longest time for which two nodes act on conflicting versions at once. */
  public long maxConflictTicks() {
    return (long) Math.ceil(leaseTicks() * (1 + 2 * MAX_CLOCK_DRIFT)) + MAX_LOOP_TURN_TICKS;
  }

  /**
   * When the next renewal is due.
   *
   * @param draw a random number from 0 to 1, for the jitter
   */
  long nextRenewalAtTicks(long nowTicks, double draw) {
    return nowTicks + (long) (renewalTicks * (1 - RENEWAL_JITTER * draw));
  }
}
