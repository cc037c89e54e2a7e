package saltlatch.policy;

import saltlatch.api.Ticks;

/**
 * When the engine's housekeeping is due, and which timer for it has been asked of the host. The
 * timer shows the host's stalls too: {@link TimerStallDetection} compares it with the clock.
 */
final class HousekeepingSchedule {
  static final long PERIOD_TICKS = 100 * Ticks.PER_MILLISECOND;
  /** Timers with an id below 0 are the housekeeping's; others are those of requests. */
  static final long TIMER_ID = -1;

  private long dueAtTicks;
  private long timerAtTicks;

  HousekeepingSchedule(long now) {
    dueAtTicks = now + PERIOD_TICKS;
  }

  /** It runs now; the next is due a period later. */
  void restart(long now) {
    dueAtTicks = now + PERIOD_TICKS;
  }

  long dueAtTicks() {
    return dueAtTicks;
  }

  /** When the timer last asked for fires; 0: none was. */
  long timerAtTicks() {
    return timerAtTicks;
  }

  boolean needsTimer() {
    return timerAtTicks != dueAtTicks;
  }

  void recordTimer() {
    timerAtTicks = dueAtTicks;
  }
}
