package saltlatch.wire.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import saltlatch.api.Ticks;

class WatchPacingTest {
  private final WatchPacing pacing = new WatchPacing();

  /** Guards against flooding an agent that resets each watch at once: openings are 1 s apart. */
  @Test
  void openingsAreOneSecondApart() {
    assertEquals(0, pacing.nextOpeningAtTicks(0));
    pacing.opened(0);
    assertEquals(Ticks.PER_SECOND, pacing.nextOpeningAtTicks(1));
    assertEquals(Ticks.PER_SECOND + 1, pacing.nextOpeningAtTicks(Ticks.PER_SECOND + 1));
  }

  /** A list that is too large each time is requested at growing intervals. */
  @Test
  void backoffGrowsToFiveMinutesUntilAListIsAccepted() {
    for (int seconds : new int[] {1, 2, 4, 8, 16, 32, 64, 128, 256, 300, 300}) {
      assertEquals(seconds * Ticks.PER_SECOND, pacing.listRefused(7));
      assertEquals(7 + seconds * Ticks.PER_SECOND, pacing.nextOpeningAtTicks(7));
    }
    pacing.listAccepted();
    assertEquals(Ticks.PER_SECOND, pacing.listRefused(7));
  }

  /** Another agent has not sent the list that was too large, so its watch opens at once. */
  @Test
  void watchOfAnotherAddressOpensAtOnce() {
    pacing.opened(5);
    pacing.listRefused(6);
    pacing.addressChanged();
    assertEquals(7, pacing.nextOpeningAtTicks(7));
    assertEquals(Ticks.PER_SECOND, pacing.listRefused(7));
  }
}
