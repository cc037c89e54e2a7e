package saltlatch.membership;

/**
 * What membership runs by, worked out of the settings: the roster's size and the datagrams a second
 * that a node takes in of the others. Times are tenths of a ms. Every promised time is a formula
 * here.
 */
public record MembershipTimings(int members, long periodTicks) {
  // One block of constants, each with its unit and reason.
  // 0.5 s between a node's probes: a failure is seen within seconds
  static final long LEAST_PERIOD = 5_000;
  // others asked to probe what did not answer: one of them lost in a thousand at 10 % loss
  static final int INDIRECT = 3;
  // of what a node takes in; the rest is for what nodes tell of quotas
  static final double INTAKE_PART = 0.5;
  // datagrams a node takes in a period if every probe needs the others
  static final int WORST_COST = 2 + 4 * INDIRECT;
  static final double DIRECT = 0.4; // part of the period that a direct answer is waited for
  // part of the period after which one asked for help says that it has no answer
  static final double RELAYED = 0.7;
  // the local health multiplier's bound, as Lifeguard's evaluation has it
  static final int HEALTH_MOST = 8;
  // after an absence: it asks at a third of its pace until two have answered
  static final int HEALTH_BACK = 2;
  // periods, times log10 of the fleet: time to hear a refutation
  static final double SUSPECT_LEAST = 4;
  // times the least: a suspicion that nobody else confirms waits so long
  static final double SUSPECT_MOST = 6;
  static final int CONFIRMED = 3; // others' suspicions that bring the time down to the least
  // every third period one that is failed or unknown is tried: a healed cut is found
  static final int RECALL = 3;
  static final int SPREAD = 4; // times log2 of the fleet that one piece of news is sent on
  // 50 ms between a node's looks at what is due: a tenth of the least period
  static final long TICK = 500;
  // rounds of probes: a member's word outlives two lost probes of it
  static final int LEASE_ROUNDS = 3;
  // how far a clock may run fast or slow: a hundredfold of a bad crystal's
  static final double DRIFT = 0.01;
  static final int AWAY = 2; // periods without a tick: this node did not run
  // periods, times log2 of the fleet, in which news reaches all at up to 30 % loss
  static final int ROUNDS = 3;

  /**
   * {@code intake}: datagrams a second that a node takes in; 0 leaves membership off, which is the
   * host's to know.
   */
  public static MembershipTimings of(int members, double intake) {
    return new MembershipTimings(members,
        Math.max(LEAST_PERIOD, (long) Math.ceil(10_000 * WORST_COST / (INTAKE_PART * intake))));
  }

  private double log2Members() {
    return Math.log(Math.max(2, members)) / Math.log(2);
  }

  /** How often one piece of news is sent. */
  int retransmitLimit() {
    return (int) Math.ceil(SPREAD * log2Members());
  }

  long minSuspicionTicks() {
    return (long) (SUSPECT_LEAST * Math.max(1, Math.log10(members)) * periodTicks);
  }

  long maxSuspicionTicks() {
    return (long) (SUSPECT_MOST * minSuspicionTicks());
  }

  /** How long a suspicion lasts that so many others confirm, as Lifeguard lets it shrink. */
  long suspicionTicks(int confirmations) {
    double part = Math.log(confirmations + 1) / Math.log(CONFIRMED + 1);
    return Math.max(minSuspicionTicks(), (long) (maxSuspicionTicks()
        - (maxSuspicionTicks() - minSuspicionTicks()) * Math.min(1, part)));
  }

  private long disseminationTicks() {
    return (long) (ROUNDS * Math.ceil(log2Members()) * periodTicks);
  }

  /**
   * T1: a dead member is failed at every live one that can be reached within this: each of the
   * others meets it at the latest in the second of two rounds of its probes (of small fleets; in
   * large ones some other does long before), a suspicion at its longest, and the news' way.
   */
  public long failureDetectionTicks() {
    return Math.min(2L * members, ROUNDS * (long) Math.ceil(log2Members())) * periodTicks
        + maxSuspicionTicks() + disseminationTicks();
  }

  /**
   * T2: a live, reachable, running member that is held failed is not so for longer: it is tried
   * again at the latest when all recalls have gone round, hears of it, and the news makes its way.
   */
  public long falseFailureTicks() {
    return (long) RECALL * Math.min(members, ROUNDS * (long) Math.ceil(log2Members())) * periodTicks
        + 2 * disseminationTicks();
  }

  /** T3: after a heal all views are equal within this. */
  public long convergenceTicks() {
    return falseFailureTicks() + maxSuspicionTicks() + 2 * disseminationTicks();
  }

  /** L: how long a direct answer is gone by, counted from the sending of its probe. */
  public long leaseTicks() {
    return LEASE_ROUNDS * members * periodTicks;
  }

  /**
   * W: how long a majority must have held a member failed before its surplus is taken over, and how
   * long one that held it so does not vouch for it again: a lease by the slowest clock, measured by
   * the fastest.
   */
  public long leaseExpiryTicks() {
    return (long) Math.ceil(leaseTicks() * (1 + 4 * DRIFT));
  }

  /**
   * After all hold it failed: more than half have been met (in two rounds at the latest), a wait,
   * and their next round.
   */
  public long takeoverTicks() {
    return disseminationTicks() + 4L * members * periodTicks + leaseExpiryTicks();
  }

  /** Between two ticks, which the host is to keep. */
  public static long tickIntervalTicks() {
    return TICK;
  }

  /**
   * Datagrams a second that a node takes in, at the most in the mean: if every probe of the fleet
   * needs the others' help.
   */
  public double datagramsPerSecond() {
    return 10_000.0 * WORST_COST / periodTicks;
  }
}
