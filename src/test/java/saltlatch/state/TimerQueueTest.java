package saltlatch.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order, cancellation and renewal of timers at given times. */
class TimerQueueTest {
  private final TimerQueue timers = new TimerQueue();
  private final List<String> ran = new ArrayList<>();

  @Test
  void runsTimersByDueTimeThenByCreation() {
    timers.add(20, () -> ran.add("late"));
    timers.add(10, () -> ran.add("first"));
    timers.add(10, () -> ran.add("second"));
    assertEquals(10, timers.nextDueTicks());
    timers.runDue(15);
    assertEquals(List.of("first", "second"), ran);
    assertEquals(20, timers.nextDueTicks());
  }

  @Test
  void cancelledTimerNeitherRunsNorIsReportedAsDue() {
    TimerQueue.Timer timer = timers.add(10, () -> ran.add("cancelled"));
    timer.cancel();
    assertEquals(Long.MAX_VALUE, timers.nextDueTicks());
    timers.runDue(10);
    assertEquals(List.of(), ran);
  }

  /** Guards against a timer that re-adds itself without delay and so blocks the event loop. */
  @Test
  void timerAddedByAnActionRunsInTheNextCall() {
    timers.add(10, () -> timers.add(10, () -> ran.add("renewed")));
    timers.runDue(10);
    assertEquals(List.of(), ran);
    timers.runDue(10);
    assertEquals(List.of("renewed"), ran);
  }
}
