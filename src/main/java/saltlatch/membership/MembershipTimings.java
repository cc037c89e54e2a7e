package saltlatch.membership;

import saltlatch.api.Ticks;

/**
 * Times of the protocol, and the bounds that it promises, as formulas of the fleet's size.
 *
 * <p>Immutable; {@link #of} works it out of the settings. The bounds hold with at most a tenth of
 * the datagrams lost; docs/member-design.md derives them. Constants that only one rule uses stand
 * beside that rule.
 *
 * @param memberCount members by the configuration, live or not
 * @param periodTicks time between two probes of a node that is not slow
 */
public record MembershipTimings(int memberCount, long periodTicks) {
  /** A failure is to be seen within seconds: 0.5 s. */
  static final long MIN_PERIOD_TICKS = Ticks.PER_SECOND / 2;

  /** Proxies asked when a direct probe fails: at 10 % loss all are lost one time in a thousand. */
  static final int INDIRECT_PROBES = 3;

  /** Others' suspicions that shorten a suspicion to its minimum. */
  static final int MAX_CONFIRMATIONS = 3;

  /** One probe in so many goes to a member that is failed or unknown, to find a healed split. */
  static final int RECONNECT_PERIODS = 3;

  /** Part of the datagrams a node takes in; the rest is for gossip of quotas. */
  private static final double MAX_INTAKE_FRACTION = 0.5;

  /** Datagrams that a node takes in each period if every probe needs proxies. */
  private static final int MAX_DATAGRAMS_PER_PERIOD = 2 + 4 * INDIRECT_PROBES;

  /** Minimum suspicion in periods, times log10 of the fleet: time enough for a refutation. */
  private static final double MIN_SUSPICION_PERIODS = 4;

  /** An unconfirmed suspicion lasts so many minimum ones. */
  private static final double MAX_SUSPICION_FACTOR = 6;

  /** An update is sent so often, times log2 of the fleet. */
  private static final int RETRANSMIT_FACTOR = 4;

  /** Periods, times log2 of the fleet, in which an update reaches all at up to 30 % loss. */
  private static final int DISSEMINATION_PERIODS = 3;

  /** A lease outlives two lost probes of the same member. */
  private static final int LEASE_ROUNDS = 3;

  /** How far a clock may run fast or slow: a hundred times as bad as a poor crystal. */
  private static final double MAX_CLOCK_DRIFT = 0.01;

  /** After so many periods without a tick, or without a message, something stood still. */
  private static final int ABSENCE_PERIODS = 2;

  /** Time between two ticks: 50 ms, a tenth of the shortest period. */
  private static final long TICK_INTERVAL_TICKS = Ticks.PER_SECOND / 20;

  /**
   * Works out the period.
   *
   * @param intakePerSecond datagrams a second that a node takes in of its peers, above 0
   */
  public static MembershipTimings of(int memberCount, double intakePerSecond) {
    return new MembershipTimings(memberCount, Math.max(MIN_PERIOD_TICKS, (long) Math.ceil(
        Ticks.PER_SECOND * MAX_DATAGRAMS_PER_PERIOD / (MAX_INTAKE_FRACTION * intakePerSecond))));
  }

  private double log2Members() {
    return Math.log(Math.max(2, memberCount)) / Math.log(2);
  }

  /** How often one update is sent. */
  int retransmitLimit() {
    return (int) Math.ceil(RETRANSMIT_FACTOR * log2Members());
  }

  /** How long a suspicion lasts that enough others confirm. */
  long minSuspicionTicks() {
    return (long) (MIN_SUSPICION_PERIODS * Math.max(1, Math.log10(memberCount)) * periodTicks);
  }

  /** How long a suspicion lasts that nobody confirms. */
  long maxSuspicionTicks() {
    return (long) (MAX_SUSPICION_FACTOR * minSuspicionTicks());
  }

  /** How long a suspicion lasts that so many others confirm, by Lifeguard's formula. */
  long suspicionTicks(int confirmations) {
    double fraction = Math.log(confirmations + 1) / Math.log(MAX_CONFIRMATIONS + 1);
    return Math.max(minSuspicionTicks(), (long) (maxSuspicionTicks()
        - (maxSuspicionTicks() - minSuspicionTicks()) * Math.min(1, fraction)));
  }

  /** How long without ticks a node has not run, or without messages it hears nobody. */
  long absenceTicks() {
    return ABSENCE_PERIODS * periodTicks;
  }

  private long disseminationTicks() {
    return (long) (DISSEMINATION_PERIODS * Math.ceil(log2Members()) * periodTicks);
  }

  /** Rounds of probes in which the whole fleet meets a member, at most. */
  private long disseminationRounds() {
    return DISSEMINATION_PERIODS * (long) Math.ceil(log2Members());
  }

  /**
   * T1, the bound until every live member that can be reached holds a dead one failed: the second
   * round of probes at the latest (in large fleets some other member's probe comes long before), a
   * suspicion at its longest, and the update's way.
   */
  public long failureDetectionTicks() {
    return Math.min(2L * memberCount, disseminationRounds()) * periodTicks + maxSuspicionTicks()
        + disseminationTicks();
  }

  /**
   * T2, the bound on how long a live, reachable, running member is held failed: it is probed again
   * once all members that are not live have had their turn, hears of it, and refutes it.
   */
  public long falseFailureTicks() {
    return (long) RECONNECT_PERIODS * Math.min(memberCount, disseminationRounds()) * periodTicks
        + 2 * disseminationTicks();
  }

  /** T3, the bound until all views are equal after a split has healed. */
  public long convergenceTicks() {
    return falseFailureTicks() + maxSuspicionTicks() + 2 * disseminationTicks();
  }

  /** L, how long a direct answer counts, from the sending of its probe. */
  public long leaseTicks() {
    return LEASE_ROUNDS * memberCount * periodTicks;
  }

  /**
   * W, a lease by the slowest clock, measured by the fastest: how long a majority must have held a
   * member failed before its surplus is taken over, and how long a member that held it so does not
   * vouch for it.
   */
  public long leaseExpiryTicks() {
    return (long) Math.ceil(leaseTicks() * (1 + 4 * MAX_CLOCK_DRIFT));
  }

  /**
   * The bound until a dead member's surplus is in use again, from when all hold it failed: more
   * than half are probed (two rounds at most), W, and their next round.
   */
  public long takeoverTicks() {
    return disseminationTicks() + 4L * memberCount * periodTicks + leaseExpiryTicks();
  }

  /** Time between two ticks, for the host to keep. */
  public static long tickIntervalTicks() {
    return TICK_INTERVAL_TICKS;
  }

  /** Datagrams a second that a node takes in, in the mean, if every probe needs proxies. */
  public double datagramsPerSecond() {
    return (double) Ticks.PER_SECOND * MAX_DATAGRAMS_PER_PERIOD / periodTicks;
  }
}
