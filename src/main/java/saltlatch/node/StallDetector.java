package saltlatch.node;

import java.util.function.LongSupplier;
import saltlatch.api.Ticks;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;

/**
 * Detects that the event loop did not run because the process was stopped or lost its core. A
 * stall shows as a timer that is overdue by more than the policy's threshold. Requests read right
 * after a stall may have waited unread during all of it, and their clients may have timed out; the
 * age of these requests lets the policy drop them first. The policy detects its stalls separately
 * with a timer (TimerStallDetection), since in the simulator it has no event loop.
 *
 * <p>{@link #check()} must run before data read after a stall is processed, so that the stall is
 * recorded before the first request that it delayed. Owned by the event loop.
 */
final class StallDetector {
  private final LongSupplier clockTicks;
  private final LongSupplier timerDueTicks; // Long.MAX_VALUE if no timer is set
  private final LongSupplier thresholdTicks;
  private final NodeMetrics metrics;
  private final NodeHistory history;
  private long lastCheckTicks; // when the event loop last ran a check
  private long resumedTicks; // end of the last stall; 0 if there was none
  private long stallTicks; // length of the last stall

  StallDetector(LongSupplier clockTicks, LongSupplier timerDueTicks, LongSupplier thresholdTicks,
      NodeMetrics metrics, NodeHistory history) {
    this.clockTicks = clockTicks;
    this.timerDueTicks = timerDueTicks;
    this.thresholdTicks = thresholdTicks;
    this.metrics = metrics;
    this.history = history;
  }

  /** Starts the detection; a stall before this call is not detected. */
  void start() {
    lastCheckTicks = clockTicks.getAsLong();
  }

  /** Checks whether the event loop has just resumed after a stall. */
  void check() {
    long nowTicks = clockTicks.getAsLong();
    long dueTicks = timerDueTicks.getAsLong();
    if (dueTicks != Long.MAX_VALUE
        && nowTicks - Math.max(dueTicks, lastCheckTicks) > thresholdTicks.getAsLong()) {
      recordStall(nowTicks);
    }
    lastCheckTicks = nowTicks;
  }

  private void recordStall(long nowTicks) {
    resumedTicks = nowTicks;
    stallTicks = nowTicks - lastCheckTicks;
    long stallMs = stallTicks / Ticks.PER_MILLISECOND;
    metrics.add(Metric.STALLS);
    metrics.add(Metric.STALLED_MS, stallMs);
    history.stalled(stallMs);
  }

  /**
   * Returns since when the event loop may not have looked at its connections: the begin of the last
   * stall, until the time since its end exceeds its length; {@code nowTicks} at all other times.
   */
  long unattendedSinceTicks(long nowTicks) {
    check();
    if (resumedTicks == 0 || nowTicks - resumedTicks > stallTicks) return nowTicks;
    return resumedTicks - stallTicks;
  }

  /** Counts a request that was read this long after its arrival. */
  void requestRead(long ageTicks) {
    if (ageTicks > thresholdTicks.getAsLong()) metrics.add(Metric.REQUESTS_READ_LATE);
  }
}
