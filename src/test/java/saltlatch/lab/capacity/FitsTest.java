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

/** Tests regression lines through measurements, and figures computed from them. */
class FitsTest {
  private static final double TOLERANCE = 1e-9;

  private final List<Measurement> withOutlier = List.of(Sample.measurement("t", 1, 1),
      Sample.measurement("t", 2, 2), Sample.measurement("t", 3, 3), Sample.measurement("t", 4, 8));

  @Test
  void slopeAndStandardErrorMatchTheirFormulas() {
    Fit fit = Fits.of(withOutlier).find("t", Quantity.CPU_MS);
    assertEquals(2.2, fit.line().slope(), TOLERANCE);
    assertEquals(-2, fit.line().intercept(), TOLERANCE);
    // residuals 0.8, -0.4, -1.6, 1.2: sum of squares 4.8, 2 degrees of freedom;
    // sum of squares of the sizes' deviations: 5
    assertEquals(Math.sqrt(4.8 / 2 / 5), fit.slopeError(), TOLERANCE);
    assertEquals(Math.sqrt(4.8 / 2) * Math.sqrt(0.25 + 7.5 * 7.5 / 5), fit.errorAt(10), TOLERANCE);
  }

  @Test
  void largestSizeIsPredictedFromSmallerSizesOnly() {
    Fit fit = Fits.of(withOutlier).find("t", Quantity.CPU_MS);
    assertEquals(4, fit.predictedLargest(), TOLERANCE);
    assertEquals(8, fit.measuredLargest(), TOLERANCE);
    assertNull(Fits.of(withOutlier.subList(0, 2)).find("t", Quantity.CPU_MS).predictedLargest());
  }

  @Test
  void figureBeyondTheLargestSizeIsExtrapolated() {
    Fits fits = Fits.of(withOutlier);
    assertEquals(Confidence.MEASURED, fits.at("t", Quantity.CPU_MS, 4).confidence());
    assertEquals(Confidence.EXTRAPOLATED, fits.at("t", Quantity.CPU_MS, 4.5).confidence());
    assertEquals(List.of("t cpu_ms"), fits.at("t", Quantity.CPU_MS, 4).sources());
  }

  @Test
  void figureAtAMeasuredSizeIsTheMeanOfItsRepeats() {
    List<Measurement> repeated = new ArrayList<>(withOutlier);
    repeated.add(Sample.measurement("t", 4, 10));
    Figure atSize = Fits.of(repeated).at("t", Quantity.CPU_MS, 4);
    assertEquals(9, atSize.value(), TOLERANCE);
    assertEquals(1, atSize.error(), TOLERANCE); // sqrt((1 + 1) / 1 / 2)
    assertEquals(atSize, Fits.of(repeated).at("t", Quantity.CPU_MS, 4.01));
    assertEquals(Confidence.EXTRAPOLATED,
        Fits.of(repeated).at("t", Quantity.CPU_MS, 4.03).confidence());
  }

  @Test
  void negativeCostIsMissingAndUnfinishedRepeatIsIgnored() {
    List<Measurement> withUnfinished = new ArrayList<>(withOutlier);
    withUnfinished.add(Sample.measurement("t", 100, Double.NaN));
    assertEquals(4, Fits.of(withUnfinished).find("t", Quantity.SECONDS).largest());
    Figure belowZero = Fits.of(withUnfinished).at("t", Quantity.SECONDS, 0.5);
    assertFalse(belowZero.known());
    assertEquals(List.of("t seconds (below 0 there)"), belowZero.sources());
    assertEquals(-2, Fits.of(withUnfinished).intercept("t", Quantity.SECONDS).value(), TOLERANCE);
  }

  @Test
  void onlyTheMeasuredSizeIsKnownWithASingleSize() {
    Fits fits = Fits.of(List.of(Sample.measurement("t", 1, 1), Sample.measurement("t", 1, 2)));
    assertEquals(1.5, fits.at("t", Quantity.CPU_MS, 1).value(), TOLERANCE);
    assertFalse(fits.at("t", Quantity.CPU_MS, 2).known());
    assertFalse(fits.slope("t", Quantity.CPU_MS).known());
    assertFalse(fits.intercept("t", Quantity.CPU_MS).known());
    assertFalse(fits.slope("other", Quantity.CPU_MS).known());
    assertEquals(0, fits.at("other", Quantity.CPU_MS, 5).value());
  }

  @Test
  void measurementsOfAnotherVariableAreNotOnTheLine() {
    List<Measurement> mixed = new ArrayList<>(withOutlier);
    Measurement otherVariable = Sample.measurement("t", 2, 1000);
    mixed.add(new Measurement("t", "other things", 2, 1, otherVariable.values(), "0000000"));
    assertEquals(Fits.of(withOutlier).all(), Fits.of(mixed).all());
  }

  @Test
  void linesDoNotDependOnTheOrderOfMeasurements() {
    List<Measurement> reversed = new ArrayList<>(withOutlier);
    Collections.reverse(reversed);
    assertEquals(Fits.of(withOutlier).all(), Fits.of(reversed).all());
  }

  @Test
  void computedFigureHasTheLowestConfidenceOfItsInputs() {
    Figure measured = new Figure(10, 3, Confidence.MEASURED, List.of("b"));
    Figure assumed = Figure.assumed(5, "a");
    assertEquals(new Figure(50, 15, Confidence.ASSUMED, List.of("a", "b")),
        measured.times(assumed));
    assertEquals(new Figure(2, 0.6, Confidence.ASSUMED, List.of("a", "b")),
        measured.dividedBy(assumed));
    assertEquals(5, measured.plus(new Figure(1, 4, Confidence.EXTRAPOLATED, List.of())).error(),
        TOLERANCE);
    assertFalse(measured.plus(Figure.missing("c")).known());
    assertFalse(measured.dividedBy(Figure.exact(0)).known());
  }

  @Test
  void errorOfTheSizeIsScaledByTheSlope() throws Exception {
    Figure size = new Figure(100, 8, Confidence.ASSUMED, List.of("size"));
    Figure atSize = Sample.withMeasurements().at(Series.LIST_REST, Quantity.CPU_MS, size);
    assertEquals(Sample.INTERCEPT + Sample.SLOPE * 100, atSize.value(), TOLERANCE);
    assertEquals(Sample.SLOPE * 8, atSize.error(), TOLERANCE);
    assertEquals(Confidence.ASSUMED, atSize.confidence());
  }

  @Test
  void numbersHaveThreeSignificantDigits() {
    assertEquals("1,230,000", Numbers.format(1_234_567));
    assertEquals("2,700", Numbers.format(2700));
    assertEquals("2,701", Numbers.format(2701));
    assertEquals("-0.00123", Numbers.format(-0.001234));
    assertEquals("12.3", Numbers.format(12.34));
    assertEquals("34,000", Numbers.unrounded(34_000));
    assertEquals("0.017", Numbers.unrounded(0.017));
  }
}
