package saltlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class QuantileReservationTest {
  private static final double BURST_UNITS = 6;

  @Test
  void startsFromTheEstimateWithinTheBurst() {
    assertEquals(2, new QuantileReservation(2, BURST_UNITS).units());
    assertEquals(BURST_UNITS, new QuantileReservation(8, BURST_UNITS).units());
  }

  /** Too little costs three times as much as too much, and each step is smaller. */
  @Test
  void stepsByCost() {
    QuantileReservation reservation = new QuantileReservation(5, BURST_UNITS);
    reservation.learn(1);
    assertEquals(5 - 2, reservation.units());
    reservation.learn(3);
    assertEquals(3, reservation.units());
    reservation.learn(4);
    assertEquals(BURST_UNITS, reservation.units(), "3 + 3 * 2 / sqrt(3), within the burst");
    reservation.learn(0);
    assertEquals(BURST_UNITS - 1, reservation.units());
  }

  /** Overrun cost 3 and hold cost 1: three of four requests take no more than is reserved. */
  @Test
  void comesToTheCriticalFractile() {
    SplittableRandom random = new SplittableRandom(1);
    QuantileReservation reservation = new QuantileReservation(1, 20);
    double sum = 0;
    for (int i = 0; i < 40_000; i++) {
      reservation.learn(8 * random.nextDouble());
      sum += i < 20_000 ? 0 : reservation.units();
    }
    assertEquals(6, sum / 20_000, 0.5);
  }
}
