package saltlatch.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.state.NodeMetrics;

/**
 * Tests stall detection on a fake clock. A process is stopped, or loses its core, for longer than
 * the policy's threshold. Its timer is then overdue, and requests read right afterwards may have
 * waited unread for as long as the stall took.
 */
class StallDetectorTest {
  private static final long THRESHOLD_TICKS = 500;

  private long nowTicks = 10_000;
  private long timerDueTicks = Long.MAX_VALUE;
  private final NodeMetrics metrics = new NodeMetrics();
  private final List<Long> stallsMs = new ArrayList<>();
  private final StallDetector detector = new StallDetector(() -> nowTicks, () -> timerDueTicks,
      () -> THRESHOLD_TICKS, metrics, new NodeHistory() {
        @Override
        public void stalled(long stallMs) {
          stallsMs.add(stallMs);
        }
      });
  private void stallFor(long ticks) {
    detector.start();
    timerDueTicks = nowTicks;
    nowTicks += ticks;
    detector.check();
  }

  @Test
  void reportsATimerOverdueByMoreThanTheThreshold() {
    stallFor(THRESHOLD_TICKS + 1);
    assertEquals(List.of(50L), stallsMs);
    assertTrue(metrics.infoText().contains("\naway=1\naway_ms=50\n"), metrics.infoText());
  }

  @Test
  void ignoresATimerOverdueByExactlyTheThreshold() {
    stallFor(THRESHOLD_TICKS);
    assertEquals(List.of(), stallsMs);
  }

  @Test
  void reportsNoStallWithoutATimer() {
    detector.start();
    nowTicks += 100 * THRESHOLD_TICKS;
    detector.check();
    assertEquals(List.of(), stallsMs);
  }

  @Test
  void bytesMayHaveWaitedSinceTheBeginOfAStall() {
    assertEquals(nowTicks, detector.unattendedSinceTicks(nowTicks));
    long stalledTicks = nowTicks;
    stallFor(2_000);
    timerDueTicks = Long.MAX_VALUE; // it has fired
    assertEquals(stalledTicks, detector.unattendedSinceTicks(nowTicks));
    nowTicks += 2_000;
    assertEquals(stalledTicks, detector.unattendedSinceTicks(nowTicks));
    nowTicks++;
    assertEquals(nowTicks, detector.unattendedSinceTicks(nowTicks));
  }

  @Test
  void countsRequestsReadLaterThanTheThreshold() {
    detector.requestRead(THRESHOLD_TICKS);
    detector.requestRead(THRESHOLD_TICKS + 1);
    assertTrue(metrics.infoText().contains("\nread_late=1\n"), metrics.infoText());
  }
}
