package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when an overdue timer shows that this node was stalled. Times are in ticks. */
class TimerStallDetectionTest {
  private static final ObjectiveBounds BOUNDS = new ObjectiveBounds(10_000, 30_000);

  private final HousekeepingSchedule schedule = new HousekeepingSchedule(0);
  private final TimerStallDetection stalls = new TimerStallDetection(BOUNDS, schedule);

  /**
   * The timer, set for 100 ms, is overdue by more than half of the latency objective of 1 s, so the
   * node was stalled.
   */
  @Test
  void overdueTimerShowsAStall() {
    schedule.recordTimer();
    assertEquals(5_000, stalls.thresholdTicks());
    assertEquals(0, stalls.stallTicks(0, 6_000));
    assertEquals(6_001, stalls.stallTicks(0, 6_001));
  }

  /**
   * Guards against reporting a stall while the node handles events and only the timer has not fired
   * yet.
   */
  @Test
  void runningNodeWithoutTimerIsNotStalled() {
    schedule.recordTimer();
    assertEquals(0, stalls.stallTicks(4_000, 9_000));
  }

  @Test
  void noStallWithoutATimer() {
    assertEquals(0, stalls.stallTicks(0, 1_000_000));
  }

  @Test
  void workStartedBeforeTheStallSpansIt() {
    assertFalse(stalls.spansStall(0));
    schedule.recordTimer();
    stalls.stallTicks(0, 7_000);
    assertTrue(stalls.spansStall(6_999));
    assertFalse(stalls.spansStall(7_000));
  }

  @Test
  void thresholdIsAtLeastTwoHousekeepingPeriods() {
    assertEquals(2_000,
        new TimerStallDetection(new ObjectiveBounds(100, 30_000), schedule).thresholdTicks());
  }
}
