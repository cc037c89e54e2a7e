package saltlatch.policy;

import saltlatch.api.Ticks;

/**
 * Determines when the engine's housekeeping is due, and records which timer was requested of the
 * host for it. {@link TimerStallDetection} compares this timer with the clock to detect stalls of
 * the host. Times are in ticks.
 */
final class HousekeepingSchedule {
  static final long PERIOD_TICKS = 100 * Ticks.PER_MILLISECOND;
  /** Timers with a negative id belong to the housekeeping, all others to requests. */
  static final long TIMER_ID = -1;

  private long dueAtTicks;
  private long timerAtTicks;

  HousekeepingSchedule(long now) {
    dueAtTicks = now + PERIOD_TICKS;
  }

  /** Records that the housekeeping runs now; the next one is due a period later. */
  void restart(long now) {
    dueAtTicks = now + PERIOD_TICKS;
  }

  long dueAtTicks() {
    return dueAtTicks;
  }

  /** Returns when the last requested timer fires; 0 if none was requested. */
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
