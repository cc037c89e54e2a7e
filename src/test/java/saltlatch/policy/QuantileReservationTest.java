package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests how many units are reserved for a request as actual units are learned. */
class QuantileReservationTest {
  private static final double BURST_UNITS = 6;

  @Test
  void startsFromTheEstimateLimitedToTheBurst() {
    assertEquals(2, new QuantileReservation(2, BURST_UNITS).units());
    assertEquals(BURST_UNITS, new QuantileReservation(8, BURST_UNITS).units());
  }

  /**
   * A reservation that was too small is corrected three times as strongly as one that was too
   * large, and each step is smaller than the one before.
   */
  @Test
  void stepsAreProportionalToTheCostAndShrink() {
    QuantileReservation reservation = new QuantileReservation(5, BURST_UNITS);
    reservation.learn(1);
    assertEquals(5 - 2, reservation.units());
    reservation.learn(3);
    assertEquals(3, reservation.units());
    reservation.learn(4);
    assertEquals(BURST_UNITS, reservation.units(), "3 + 3 * 2 / sqrt(3), limited to the burst");
    reservation.learn(0);
    assertEquals(BURST_UNITS - 1, reservation.units());
  }

  /**
   * With an overrun cost of 3 and a hold cost of 1, three of four requests must use no more than is
   * reserved for them.
   */
  @Test
  void convergesToTheCriticalFractile() {
    SplittableRandom random = new SplittableRandom(1);
    QuantileReservation reservation = new QuantileReservation(1, 20);
    double reservedUnits = 0;
    for (int step = 0; step < 40_000; step++) {
      reservation.learn(8 * random.nextDouble());
      reservedUnits += step < 20_000 ? 0 : reservation.units();
    }
    assertEquals(6, reservedUnits / 20_000, 0.5);
  }
}
