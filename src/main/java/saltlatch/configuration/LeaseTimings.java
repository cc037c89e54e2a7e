package saltlatch.configuration;

/**
 * Times of agreed rules, worked out of how often a node renews. Tenths of a ms; every promised time
 * is a formula here.
 */
public record LeaseTimings(long renewal) {
  // One block of constants, each with its unit and reason.
  // 1 s between renewals: a change is in force within seconds, a call a second each
  public static final long RENEWAL = 10_000;
  static final int RENEWALS = 3; // renewals that a lease outlives: two lost in a row stop nobody
  // how far a clock may run fast or slow: a hundredfold of a bad crystal's
  static final double DRIFT = 0.01;
  // 200 ms, the longest turn of a loop: what was decided is on its way by then
  static final long TURN = 2_000;
  // of a renewal by which renewals are drawn apart: a fleet must not call at once
  static final double SPREAD = 0.1;

  /**
   * L: a node acts on a version for so long after it sent the renewal that confirmed it, by its own
   * clock.
   */
  public long lease() {
    return RENEWALS * renewal;
  }

  /** W: after this by any clock a lease that was given before has run out by its holder's. */
  public long leaseOver() {
    return (long) Math.ceil(lease() * (1 + 4 * DRIFT));
  }

  /** T: the longest for which two nodes act on contradicting versions at once. */
  public long contradictedAtMost() {
    return (long) Math.ceil(lease() * (1 + 2 * DRIFT)) + TURN;
  }

  /** When the next renewal is due, drawn apart. */
  long next(long now, double draw) {
    return now + (long) (renewal * (1 - SPREAD * draw));
  }
}
