package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TimerStallDetectionTest {
  private static final ObjectiveBounds BOUNDS = new ObjectiveBounds(10_000, 30_000);

  private final HousekeepingSchedule schedule = new HousekeepingSchedule(0);
  private final TimerStallDetection stalls = new TimerStallDetection(BOUNDS, schedule);

  /** The timer for 100 ms is overdue by more than half of the objective: the node was stopped. */
  @Test
  void anOverdueTimerShowsAStall() {
    schedule.recordTimer();
    assertEquals(5_000, stalls.thresholdTicks());
    assertEquals(0, stalls.stallTicks(0, 6_000));
    assertEquals(6_001, stalls.stallTicks(0, 6_001));
  }

  /** The node runs without its timer, which the host has yet to fire: no stall. */
  @Test
  void aNodeThatRunsIsNotStalled() {
    schedule.recordTimer();
    assertEquals(0, stalls.stallTicks(4_000, 9_000));
  }

  @Test
  void withoutATimerNothingIsOverdue() {
    assertEquals(0, stalls.stallTicks(0, 1_000_000));
  }

  @Test
  void whatBeganBeforeTheStallSpansIt() {
    assertFalse(stalls.spansStall(0));
    schedule.recordTimer();
    stalls.stallTicks(0, 7_000);
    assertTrue(stalls.spansStall(6_999));
    assertFalse(stalls.spansStall(7_000));
  }

  @Test
  void shortObjectivesDontMakeStalls() {
    assertEquals(2_000,
        new TimerStallDetection(new ObjectiveBounds(100, 30_000), schedule).thresholdTicks());
  }
}
