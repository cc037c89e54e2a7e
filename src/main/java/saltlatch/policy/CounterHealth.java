package saltlatch.policy;

import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * Determines whether the counter answers, and when it may be called while it does not.
 *
 * <p>Two consecutive calls without an answer (because the counter is silent, refuses calls, or is
 * overloaded or slow) start a backoff: the node makes only one call per backoff period, for the
 * next request, and its share of the quota decides the other requests. The backoff grows while
 * answers are missing and shrinks with each answer; once it is shorter than the clock's resolution,
 * the counter is healthy again. Inputs: the outcome of each call and the number of nodes. Times are
 * in ticks.
 *
 * <p>Guards against requests that wait for an unavailable counter, and against calls that keep an
 * overloaded counter overloaded. Does slight harm if two calls are lost by chance.
 */
final class CounterHealth {
  private static final int MISSES_BEFORE_BACKOFF = 2;
  private static final double MIN_BACKOFF_TICKS = 10 * Ticks.PER_MILLISECOND;
  /**
   * At five calls per second, the node soon detects that the counter is back and causes no load.
   */
  private static final double MAX_BACKOFF_TICKS = 200 * Ticks.PER_MILLISECOND;
  private static final double BACKOFF_GROWTH = 1.5;
  /** The backoff grows at most once in this time, regardless of the number of missed calls. */
  private static final long BACKOFF_GROWTH_PERIOD_TICKS = 100 * Ticks.PER_MILLISECOND;
  /**
   * Largest fleet for which the backoff is not lengthened. In larger fleets it is, so that all
   * nodes together do not make more calls than this many nodes would.
   */
  private static final double MAX_NODES_AT_BASE_BACKOFF = 20;
  /** Time constant with which the backoff shrinks while each of its calls is answered. */
  private static final double RECOVERY_BY_CALLS_TICKS = 330 * Ticks.PER_MILLISECOND;
  /**
   * Time constant with which the backoff shrinks if requests arrive less often than calls are
   * allowed.
   */
  private static final double RECOVERY_BY_TIME_TICKS = 1 * Ticks.PER_SECOND;
  /** The longest time since the last reply that one answer may count as time of recovery. */
  private static final long MAX_RECOVERY_STEP_TICKS = 100 * Ticks.PER_MILLISECOND;

  private final boolean available;
  private final long clockResolutionTicks;
  private final FleetSize fleet;
  private int consecutiveMisses;
  private double backoffTicks;
  private long nextCallAtTicks;
  private long nextGrowthAtTicks;
  private long lastReplyAtTicks;

  CounterHealth(GatewaySettings settings, FleetSize fleet) {
    available = settings.counter().available();
    clockResolutionTicks = settings.clockResolutionTicks();
    this.fleet = fleet;
  }

  /**
   * Returns whether there is a counter and no backoff, so that each request may call the counter.
   */
  boolean isHealthy() {
    return available && backoffTicks == 0;
  }

  /** Returns whether a backoff is in effect; always false without a counter. */
  boolean isBackingOff() {
    return backoffTicks > 0;
  }

  boolean lastCallAnswered() {
    return consecutiveMisses == 0;
  }

  /**
   * Returns whether a request may call the counter now, because it is healthy or the backoff period
   * is over.
   */
  boolean mayCall(long now) {
    return available && now >= nextCallAtTicks;
  }

  /** Records that a request calls the counter now. */
  void recordCall(long now) {
    nextCallAtTicks = now + (long) backoffTicks;
  }

  /** Returns the length of the backoff; 0 if there is none. */
  double backoffTicks() {
    return backoffTicks;
  }

  /** Returns the time until the next call is allowed. */
  long ticksUntilNextCall(long now) {
    return Math.max(0, nextCallAtTicks - now);
  }

  /** Records the end of a call and returns whether it started or lengthened the backoff. */
  boolean recordReply(boolean answered, long now) {
    consecutiveMisses = answered ? 0 : consecutiveMisses + 1;
    double fleetFactor = Math.max(1, fleet.nodes() / MAX_NODES_AT_BASE_BACKOFF);
    boolean backoffGrew = false;
    if (answered) {
      shrink(fleetFactor, now);
    } else if ((consecutiveMisses >= MISSES_BEFORE_BACKOFF || backoffTicks > 0)
        && now >= nextGrowthAtTicks) {
          nextGrowthAtTicks = now + BACKOFF_GROWTH_PERIOD_TICKS;
          backoffTicks = Math.min(MAX_BACKOFF_TICKS * fleetFactor,
              Math.max(MIN_BACKOFF_TICKS * fleetFactor, backoffTicks * BACKOFF_GROWTH));
          backoffGrew = true;
        }
    lastReplyAtTicks = now;
    return backoffGrew;
  }

  /**
   * Shortens the backoff after an answer. The time since the last reply counts as well: otherwise,
   * if requests arrive less often than calls are allowed, the backoff would last long after the
   * counter has recovered.
   */
  private void shrink(double fleetFactor, long now) {
    long sinceReplyTicks = Math.min(MAX_RECOVERY_STEP_TICKS, now - lastReplyAtTicks);
    backoffTicks *= Math.exp(
        -Math.max(backoffTicks / RECOVERY_BY_CALLS_TICKS, sinceReplyTicks / RECOVERY_BY_TIME_TICKS)
            / fleetFactor);
    backoffTicks = backoffTicks < clockResolutionTicks ? 0 : backoffTicks;
  }
}
