package saltlatch.wire.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import saltlatch.api.Ticks;

class WatchPacingTest {
  private final WatchPacing pacing = new WatchPacing();

  /** An agent resets each watch at once: the next one waits until a second after the opening. */
  @Test
  void openingsAreASecondApart() {
    assertEquals(0, pacing.nextOpeningAtTicks(0));
    pacing.opened(0);
    assertEquals(Ticks.PER_SECOND, pacing.nextOpeningAtTicks(1));
    assertEquals(Ticks.PER_SECOND + 1, pacing.nextOpeningAtTicks(Ticks.PER_SECOND + 1));
  }

  /** Discovery's list is too large, time after time, and is asked for ever more seldom. */
  @Test
  void backoffGrowsToFiveMinutesAndEndsWithAListTaken() {
    for (int seconds : new int[] {1, 2, 4, 8, 16, 32, 64, 128, 256, 300, 300}) {
      assertEquals(seconds * Ticks.PER_SECOND, pacing.listRefused(7));
      assertEquals(7 + seconds * Ticks.PER_SECOND, pacing.nextOpeningAtTicks(7));
    }
    pacing.listTaken();
    assertEquals(Ticks.PER_SECOND, pacing.listRefused(7));
  }

  /** Another agent has not sent the list that was too large: it is asked at once. */
  @Test
  void anotherAddressIsAskedAtOnce() {
    pacing.opened(5);
    pacing.listRefused(6);
    pacing.addressChanged();
    assertEquals(7, pacing.nextOpeningAtTicks(7));
    assertEquals(Ticks.PER_SECOND, pacing.listRefused(7));
  }
}
