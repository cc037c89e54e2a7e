package saltlatch.policy;

import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * Whether the counter answers, and when it may be called while it doesn't.
 *
 * <p>Two calls in a row without an answer (silent, refusing, overloaded or slow) start a backoff:
 * one call each backoff goes out, with the next request in time; the node's own share of the quota
 * decides the others. The backoff grows while answers are missing and shrinks with each answer,
 * until it is shorter than the clock's resolution: the counter is healthy again. Inputs: the
 * outcome of each call and the number of nodes. Times are in ticks.
 *
 * <p>Guards against requests that wait for a counter that is gone, and against nodes that keep an
 * overloaded counter overloaded by their calls. Harms a little where two calls are lost by chance.
 */
final class CounterHealth {
  private static final int MISSES_BEFORE_BACKOFF = 2;
  private static final double MIN_BACKOFF_TICKS = 10 * Ticks.PER_MILLISECOND;
  /** Five calls a second find its return and are no load. */
  private static final double MAX_BACKOFF_TICKS = 200 * Ticks.PER_MILLISECOND;
  private static final double BACKOFF_GROWTH = 1.5;
  /** The backoff grows at most once in this time, however many calls are missed. */
  private static final long BACKOFF_GROWTH_PERIOD_TICKS = 100 * Ticks.PER_MILLISECOND;
  /** Larger fleets stretch the backoff, so that all nodes together call no more than these do. */
  private static final double NODES_WITHOUT_STRETCH = 20;
  /** Time constant with which the backoff shrinks while each of its calls is answered. */
  private static final double RECOVERY_BY_CALLS_TICKS = 330 * Ticks.PER_MILLISECOND;
  /** The same where requests come less often than the backoff allows. */
  private static final double RECOVERY_BY_TIME_TICKS = 1 * Ticks.PER_SECOND;
  /** Longest time without a call that one answer vouches for. */
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

  /** There is a counter and no backoff: each request may call it. */
  boolean isHealthy() {
    return available && backoffTicks == 0;
  }

  /** A backoff is in force; never true where there is no counter. */
  boolean isBackingOff() {
    return backoffTicks > 0;
  }

  boolean lastCallAnswered() {
    return consecutiveMisses == 0;
  }

  /** Whether a call may go out for a request, healthy or as the backoff's one. */
  boolean mayCall(long now) {
    return available && now >= nextCallAtTicks;
  }

  /** A request's call goes out. */
  void recordCall(long now) {
    nextCallAtTicks = now + (long) backoffTicks;
  }

  /** Zero where there is none. */
  double backoffTicks() {
    return backoffTicks;
  }

  /** Ticks until a call may go out again. */
  long ticksUntilNextCall(long now) {
    return Math.max(0, nextCallAtTicks - now);
  }

  /** A call has ended; true if that started the backoff or made it longer. */
  boolean recordReply(boolean answered, long now) {
    consecutiveMisses = answered ? 0 : consecutiveMisses + 1;
    double stretch = Math.max(1, fleet.nodes() / NODES_WITHOUT_STRETCH);
    boolean grows = false;
    if (answered) {
      shrink(stretch, now);
    } else if ((consecutiveMisses >= MISSES_BEFORE_BACKOFF || backoffTicks > 0)
        && now >= nextGrowthAtTicks) {
          nextGrowthAtTicks = now + BACKOFF_GROWTH_PERIOD_TICKS;
          backoffTicks = Math.min(MAX_BACKOFF_TICKS * stretch,
              Math.max(MIN_BACKOFF_TICKS * stretch, backoffTicks * BACKOFF_GROWTH));
          grows = true;
        }
    lastReplyAtTicks = now;
    return grows;
  }

  /**
   * Guards against a backoff that stays with a counter long healthy, because requests come less
   * often than calls may: the time since the last reply counts too.
   */
  private void shrink(double stretch, long now) {
    long sinceReplyTicks = Math.min(MAX_RECOVERY_STEP_TICKS, now - lastReplyAtTicks);
    backoffTicks *= Math.exp(
        -Math.max(backoffTicks / RECOVERY_BY_CALLS_TICKS, sinceReplyTicks / RECOVERY_BY_TIME_TICKS)
            / stretch);
    backoffTicks = backoffTicks < clockResolutionTicks ? 0 : backoffTicks;
  }
}
