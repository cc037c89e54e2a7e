package saltlatch.node;

import java.util.function.LongSupplier;
import saltlatch.api.Ticks;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;

/**
 * Notices that the event loop did not run: the process was stopped, or its core was taken away.
 * Shows as a timer that is overdue by more than the policy's threshold. Requests read right after a
 * stall may have waited unread through all of it, with clients that have given up since; their age
 * lets the policy drop them first. The policy judges its own absence by its own timer
 * (TimerStallDetection), since on the simulator it has no event loop.
 *
 * <p>{@link #check()} has to run before anything read meanwhile is handed on: then a stall is known
 * before the first request that it delayed. Owned by the event loop.
 */
final class StallDetector {
  private final LongSupplier clockTicks;
  private final LongSupplier timerDueTicks; // Long.MAX_VALUE: no timer is set
  private final LongSupplier thresholdTicks;
  private final NodeMetrics metrics;
  private final NodeHistory history;
  private long lastSeenTicks; // the loop was running then
  private long resumedTicks; // end of the last stall; 0: there was none
  private long stallTicks; // length of the last stall

  StallDetector(LongSupplier clockTicks, LongSupplier timerDueTicks, LongSupplier thresholdTicks,
      NodeMetrics metrics, NodeHistory history) {
    this.clockTicks = clockTicks;
    this.timerDueTicks = timerDueTicks;
    this.thresholdTicks = thresholdTicks;
    this.metrics = metrics;
    this.history = history;
  }

  /** The loop runs from now on. */
  void start() {
    lastSeenTicks = clockTicks.getAsLong();
  }

  /** Looks whether the loop has just resumed after a stall. */
  void check() {
    long nowTicks = clockTicks.getAsLong();
    long dueTicks = timerDueTicks.getAsLong();
    if (dueTicks != Long.MAX_VALUE
        && nowTicks - Math.max(dueTicks, lastSeenTicks) > thresholdTicks.getAsLong()) {
      resumed(nowTicks);
    }
    lastSeenTicks = nowTicks;
  }

  private void resumed(long nowTicks) {
    resumedTicks = nowTicks;
    stallTicks = nowTicks - lastSeenTicks;
    long stallMs = stallTicks / Ticks.PER_MILLISECOND;
    metrics.add(Metric.STALLS);
    metrics.add(Metric.STALLED_MS, stallMs);
    history.stalled(stallMs);
  }

  /**
   * For how long a command that is read now has lain unread, in ticks. The system is asked only
   * for as long after a stall as the stall took; 0 at other times.
   */
  long readDelayTicks(RequestContext.ResponseSink client) {
    long sinceResumedTicks = clockTicks.getAsLong() - resumedTicks;
    if (resumedTicks == 0 || sinceResumedTicks > stallTicks) return 0;
    long ageTicks = Math.min(client.readDelayTicks(), stallTicks + sinceResumedTicks);
    if (ageTicks > thresholdTicks.getAsLong()) metrics.add(Metric.REQUESTS_READ_LATE);
    return ageTicks;
  }
}
