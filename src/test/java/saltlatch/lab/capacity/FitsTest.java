package saltlatch.lab.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;
import saltlatch.lab.scale.Measurement;
import saltlatch.lab.scale.Quantity;

/** Lines through measurements, and figures computed from them. */
class FitsTest {
  private static final double EXACT = 1e-9;

  private final List<Measurement> bent = List.of(Sample.one("t", 1, 1), Sample.one("t", 2, 2),
      Sample.one("t", 3, 3), Sample.one("t", 4, 8));

  @Test
  void slopeAndItsStandardErrorAreThoseOfTheTextbook() {
    Fit fit = Fits.of(bent).find("t", Quantity.CPU_MS);
    assertEquals(2.2, fit.line().slope(), EXACT);
    assertEquals(-2, fit.line().intercept(), EXACT);
    // distances 0.8, -0.4, -1.6, 1.2: squares 4.8 over 2 freedoms, over 5 for the sizes' squares
    assertEquals(Math.sqrt(4.8 / 2 / 5), fit.slopeError(), EXACT);
    assertEquals(Math.sqrt(4.8 / 2) * Math.sqrt(0.25 + 7.5 * 7.5 / 5), fit.errorAt(10), EXACT);
  }

  @Test
  void theLargestSizeIsPredictedFromTheSmallerOnesAlone() {
    Fit fit = Fits.of(bent).find("t", Quantity.CPU_MS);
    assertEquals(4, fit.predictedLargest(), EXACT);
    assertEquals(8, fit.measuredLargest(), EXACT);
    assertNull(Fits.of(bent.subList(0, 2)).find("t", Quantity.CPU_MS).predictedLargest());
  }

  @Test
  void beyondTheLargestSizeRunAFigureIsExtrapolated() {
    Fits fits = Fits.of(bent);
    assertEquals(Confidence.MEASURED, fits.at("t", Quantity.CPU_MS, 4).confidence());
    assertEquals(Confidence.EXTRAPOLATED, fits.at("t", Quantity.CPU_MS, 4.5).confidence());
    assertEquals(List.of("t cpu_ms"), fits.at("t", Quantity.CPU_MS, 4).sources());
  }

  @Test
  void aSizeThatWasRunIsTheMeanOfItsRepeats() {
    List<Measurement> more = new ArrayList<>(bent);
    more.add(Sample.one("t", 4, 10));
    Figure there = Fits.of(more).at("t", Quantity.CPU_MS, 4);
    assertEquals(9, there.value(), EXACT);
    assertEquals(1, there.error(), EXACT); // sqrt((1 + 1) / 1 / 2)
    assertEquals(there, Fits.of(more).at("t", Quantity.CPU_MS, 4.01));
    assertEquals(Confidence.EXTRAPOLATED,
        Fits.of(more).at("t", Quantity.CPU_MS, 4.03).confidence());
  }

  @Test
  void aCostBelowNothingIsMissingAndARepeatThatDidNotEndIsLeftOut() {
    List<Measurement> odd = new ArrayList<>(bent);
    odd.add(Sample.one("t", 100, Double.NaN));
    assertEquals(4, Fits.of(odd).find("t", Quantity.SECONDS).largest());
    Figure below = Fits.of(odd).at("t", Quantity.SECONDS, 0.5);
    assertFalse(below.known());
    assertEquals(List.of("t seconds (below 0 there)"), below.sources());
    assertEquals(-2, Fits.of(odd).intercept("t", Quantity.SECONDS).value(), EXACT);
  }

  @Test
  void ofASingleSizeOnlyThatSizeIsKnown() {
    Fits fits = Fits.of(List.of(Sample.one("t", 1, 1), Sample.one("t", 1, 2)));
    assertEquals(1.5, fits.at("t", Quantity.CPU_MS, 1).value(), EXACT);
    assertFalse(fits.at("t", Quantity.CPU_MS, 2).known());
    assertFalse(fits.slope("t", Quantity.CPU_MS).known());
    assertFalse(fits.intercept("t", Quantity.CPU_MS).known());
    assertFalse(fits.slope("other", Quantity.CPU_MS).known());
    assertEquals(0, fits.at("other", Quantity.CPU_MS, 5).value());
  }

  @Test
  void whatGrewOtherwiseIsNotOnTheLine() {
    List<Measurement> mixed = new ArrayList<>(bent);
    Measurement trial = Sample.one("t", 2, 1000);
    mixed.add(new Measurement("t", "other things", 2, 1, trial.values(), "0000000"));
    assertEquals(Fits.of(bent).all(), Fits.of(mixed).all());
  }

  @Test
  void theOrderOfMeasurementsDoesNotMatter() {
    List<Measurement> turned = new ArrayList<>(bent);
    Collections.reverse(turned);
    assertEquals(Fits.of(bent).all(), Fits.of(turned).all());
  }

  @Test
  void aComputedFigureStandsNoFirmerThanItsWeakestInput() {
    Figure measured = new Figure(10, 3, Confidence.MEASURED, List.of("b"));
    Figure assumed = Figure.assumed(5, "a");
    assertEquals(new Figure(50, 15, Confidence.ASSUMED, List.of("a", "b")),
        measured.times(assumed));
    assertEquals(new Figure(2, 0.6, Confidence.ASSUMED, List.of("a", "b")),
        measured.dividedBy(assumed));
    assertEquals(5, measured.plus(new Figure(1, 4, Confidence.EXTRAPOLATED, List.of())).error(),
        EXACT);
    assertFalse(measured.plus(Figure.missing("c")).known());
    assertFalse(measured.dividedBy(Figure.exact(0)).known());
  }

  @Test
  void aSizesOwnErrorGoesIntoTheFigureBySlope() throws Exception {
    Figure size = new Figure(100, 8, Confidence.ASSUMED, List.of("size"));
    Figure there = Sample.whole().at(Series.LIST_REST, Quantity.CPU_MS, size);
    assertEquals(Sample.AT_ZERO + Sample.SLOPE * 100, there.value(), EXACT);
    assertEquals(Sample.SLOPE * 8, there.error(), EXACT);
    assertEquals(Confidence.ASSUMED, there.confidence());
  }

  @Test
  void numbersHaveThreeDigitsAndNoLocale() {
    assertEquals("1,230,000", Numbers.format(1_234_567));
    assertEquals("2,700", Numbers.format(2700));
    assertEquals("2,701", Numbers.format(2701));
    assertEquals("-0.00123", Numbers.format(-0.001234));
    assertEquals("12.3", Numbers.format(12.34));
    assertEquals("34,000", Numbers.unrounded(34_000));
    assertEquals("0.017", Numbers.unrounded(0.017));
  }
}
