package saltlatch.membership;

import saltlatch.api.Ticks;

/**
 * The protocol's times and the bounds that it guarantees, as functions of the fleet's size.
 *
 * <p>Immutable; {@link #of} computes it from the settings. The bounds hold if at most a tenth of
 * the datagrams is lost; docs/member-design.md derives them. A constant that only one rule uses is
 * defined in the class of that rule.
 *
 * @param memberCount number of members in the configuration, live or not
 * @param periodTicks time between two probes of a node that is not slow
 */
public record MembershipTimings(int memberCount, long periodTicks) {
  /** Shortest period, 0.5 s, so that a failure is detected within seconds. */
  static final long MIN_PERIOD_TICKS = Ticks.PER_SECOND / 2;

  /**
   * Number of proxies that are sent an indirect probe after a direct probe fails. At 10 % loss all
   * of them are lost in one of a thousand cases.
   */
  static final int INDIRECT_PROBES = 3;

  /** Number of confirmations by other members that shorten a suspicion to its minimum. */
  static final int MAX_CONFIRMATIONS = 3;

  /**
   * Every how many periods the probe goes to a member that is failed or unknown, to detect that a
   * partition has healed.
   */
  static final int RECONNECT_PERIODS = 3;

  /**
   * Maximum fraction of the datagrams a node can receive that membership uses. The rest is reserved
   * for gossip of quotas.
   */
  private static final double MAX_INTAKE_FRACTION = 0.5;

  /** Datagrams that a node receives in each period if every probe needs indirect probes. */
  private static final int MAX_DATAGRAMS_PER_PERIOD = 2 + 4 * INDIRECT_PROBES;

  /**
   * Minimum duration of a suspicion in periods, multiplied by log10 of the number of members. It
   * leaves enough time for a refutation.
   */
  private static final double MIN_SUSPICION_PERIODS = 4;

  /** Duration of an unconfirmed suspicion as a multiple of the minimum duration. */
  private static final double MAX_SUSPICION_FACTOR = 6;

  /** Number of times an update is sent, multiplied by log2 of the number of members. */
  private static final int RETRANSMIT_FACTOR = 4;

  /**
   * Periods in which an update reaches all members at up to 30 % loss, multiplied by log2 of the
   * number of members.
   */
  private static final int DISSEMINATION_PERIODS = 3;

  /**
   * Duration of a lease in rounds of one probe of each member, so that the lease survives two
   * consecutive lost probes of the same member.
   */
  private static final int LEASE_ROUNDS = 3;

  /** Maximum clock drift in either direction, a hundred times that of a poor quartz crystal. */
  private static final double MAX_CLOCK_DRIFT = 0.01;

  /**
   * Number of periods without a tick after which this node has been absent, or without a received
   * datagram after which it may itself be unreachable.
   */
  private static final int ABSENCE_PERIODS = 2;

  /** Time between two calls of tick: 50 ms, a tenth of the shortest period. */
  private static final long TICK_INTERVAL_TICKS = Ticks.PER_SECOND / 20;

  /**
   * Computes the period from the rate of datagrams that a node can receive.
   *
   * @param intakePerSecond datagrams per second that a node accepts from its peers, above 0
   */
  public static MembershipTimings of(int memberCount, double intakePerSecond) {
    return new MembershipTimings(memberCount, Math.max(MIN_PERIOD_TICKS, (long) Math.ceil(
        Ticks.PER_SECOND * MAX_DATAGRAMS_PER_PERIOD / (MAX_INTAKE_FRACTION * intakePerSecond))));
  }

  private double log2Members() {
    return Math.log(Math.max(2, memberCount)) / Math.log(2);
  }

  /** Returns how many times each update is sent. */
  int retransmitLimit() {
    return (int) Math.ceil(RETRANSMIT_FACTOR * log2Members());
  }

  /** Returns the duration of a suspicion with the maximum number of confirmations. */
  long minSuspicionTicks() {
    return (long) (MIN_SUSPICION_PERIODS * Math.max(1, Math.log10(memberCount)) * periodTicks);
  }

  /** Returns the duration of a suspicion without confirmations. */
  long maxSuspicionTicks() {
    return (long) (MAX_SUSPICION_FACTOR * minSuspicionTicks());
  }

  /** Returns the duration of a suspicion by its confirmations, by Lifeguard's formula. */
  long suspicionTicks(int confirmations) {
    double fraction = Math.log(confirmations + 1) / Math.log(MAX_CONFIRMATIONS + 1);
    return Math.max(minSuspicionTicks(), (long) (maxSuspicionTicks()
        - (maxSuspicionTicks() - minSuspicionTicks()) * Math.min(1, fraction)));
  }

  /**
   * Returns the time without a tick after which this node has been absent, or without a received
   * datagram after which it may itself be unreachable.
   */
  long absenceTicks() {
    return ABSENCE_PERIODS * periodTicks;
  }

  private long disseminationTicks() {
    return (long) (DISSEMINATION_PERIODS * Math.ceil(log2Members()) * periodTicks);
  }

  /**
   * Returns the maximum number of probes that each node sends until one of the nodes has probed a
   * given member.
   */
  private long maxProbesUntilReached() {
    return DISSEMINATION_PERIODS * (long) Math.ceil(log2Members());
  }

  /**
   * Returns T1, the bound until every live, reachable member considers a dead member failed. It is
   * the sum of the time until the dead member is probed, which is at most two rounds (in large
   * fleets some other member probes it much earlier), the longest suspicion, and the dissemination
   * of the update.
   */
  public long failureDetectionTicks() {
    return Math.min(2L * memberCount, maxProbesUntilReached()) * periodTicks + maxSuspicionTicks()
        + disseminationTicks();
  }

  /**
   * Returns T2, the bound on how long a live, reachable, running member is considered failed: until
   * all members that are not live have been probed, so that it is probed again, receives the update
   * about itself, and its refutation is disseminated.
   */
  public long falseFailureTicks() {
    return (long) RECONNECT_PERIODS * Math.min(memberCount, maxProbesUntilReached()) * periodTicks
        + 2 * disseminationTicks();
  }

  /** Returns T3, the bound until all views are equal after a partition has healed. */
  public long convergenceTicks() {
    return falseFailureTicks() + maxSuspicionTicks() + 2 * disseminationTicks();
  }

  /** Returns L, the duration of a lease, counted from the sending of the probe. */
  public long leaseTicks() {
    return (long) LEASE_ROUNDS * memberCount * periodTicks;
  }

  /**
   * Returns W, the time that passes on the fastest clock while a lease expires on the slowest. A
   * majority must have considered a member failed for W before the member's surplus is taken over,
   * and a member that considered it failed grants it no lease for W.
   */
  public long leaseExpiryTicks() {
    return (long) Math.ceil(leaseTicks() * (1 + 4 * MAX_CLOCK_DRIFT));
  }

  /**
   * Returns the bound from the time at which all members consider a dead member failed until its
   * surplus is in use again. It is the sum of the dissemination, the probes of more than half of
   * the members (two rounds at most), W, and the next probes of these members (two rounds at most).
   */
  public long takeoverTicks() {
    return disseminationTicks() + 4L * memberCount * periodTicks + leaseExpiryTicks();
  }

  /** Returns the time between two calls of {@link Membership#tick}, which the host must keep. */
  public static long tickIntervalTicks() {
    return TICK_INTERVAL_TICKS;
  }

  /**
   * Returns the mean number of datagrams per second that a node receives if every probe needs
   * indirect probes.
   */
  public double datagramsPerSecond() {
    return (double) Ticks.PER_SECOND * MAX_DATAGRAMS_PER_PERIOD / periodTicks;
  }
}
