package saltlatch.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Checks that a scale test prints the prediction for the largest size before measuring it, and that
 * nothing runs if a size exceeds the machine's limits.
 */
class ScaleRunTest {
  private static final long GIB = 1L << 30;

  private final StringWriter measurements = new StringWriter();
  private final ByteArrayOutputStream table = new ByteArrayOutputStream();
  private final List<Long> measured = new ArrayList<>();

  /**
   * CPU time is 5 ms plus 2 ms a unit up to size 100, then 4,010 ms; a unit needs 1 MiB, 1 process.
   */
  private final class FakeScaleTest implements ScaleTest {
    // the printed table at the start of each measurement
    private final List<String> printedBefore = new ArrayList<>();

    @Override
    public String name() {
      return "made";
    }

    @Override
    public String grows() {
      return "things";
    }

    @Override
    public List<Long> sizes() {
      return List.of(1L, 10L, 100L, 1_000L);
    }

    @Override
    public ResourceRequirements requirements(long size) {
      return new ResourceRequirements(size << 20, (int) size);
    }

    @Override
    public Map<String, MetricValues> measure(long size, int repeat) {
      measured.add(size);
      printedBefore.add(table.toString(StandardCharsets.UTF_8));
      return Map.of("made.thing",
          MetricValues.of(Quantity.CPU_MS, (double) (size <= 100 ? 5 + 2 * size : 4_010)));
    }

    @Override
    public Map<String, Long> measuredLimits() {
      return Map.of("made.ends", 777L);
    }
  }

  private void run(ScaleTest test, long memoryBytes, List<Long> sizes) throws Exception {
    new ScaleRun(new Machine(memoryBytes), measurements, new PrintStream(table),
        new PrintStream(new ByteArrayOutputStream()), "abc").run(test, sizes, 2);
  }

  @Test
  void printsThePredictionBeforeMeasuringTheLargestSize() throws Exception {
    FakeScaleTest test = new FakeScaleTest();
    run(test, 16 * GIB, List.of(1L, 10L, 100L, 290L));
    assertEquals(List.of(1L, 1L, 10L, 10L, 100L, 100L, 290L, 290L), measured);
    assertEquals("", test.printedBefore.get(5),
        "expected no prediction before the smaller sizes are measured");
    assertTrue(test.printedBefore.get(6).contains("foretold for 290 things")
        && test.printedBefore.get(6).contains("585"), test.printedBefore.get(6)); // 5 + 2 x 290
    String printed = table.toString(StandardCharsets.UTF_8);
    // 585 predicted, 4,010 measured
    assertTrue(printed.contains("4010") && printed.contains("-85 %"), printed);
    List<Measurement> lines = measurements.toString().lines().map(Measurement::parse).toList();
    assertEquals(9, lines.size());
    assertEquals(
        new Measurement("made.thing", "things", 10, 2, Map.of(Quantity.CPU_MS, 25.0), "abc"),
        lines.get(3));
    assertEquals("made.ends", lines.get(8).what());
    assertEquals(777, lines.get(8).size());
  }

  @Test
  void rejectsSizesAboveHalfOfTheMemoryBeforeAnythingRuns() {
    Machine.ResourceLimitException exception = assertThrows(Machine.ResourceLimitException.class,
        () -> run(new FakeScaleTest(), GIB / 2, List.of(1L, 100L, 257L)));
    assertTrue(exception.getMessage().contains("the limit is half of this machine's, 0.3 GiB"),
        exception.getMessage());
    assertEquals(List.of(), measured);
  }

  @Test
  void rejectsMoreProcessesThanTheLimit() {
    Machine.ResourceLimitException exception = assertThrows(Machine.ResourceLimitException.class,
        () -> run(new FakeScaleTest(), 16 * GIB, List.of(301L)));
    assertTrue(exception.getMessage().contains("301 processes; the limit is 300"),
        exception.getMessage());
  }

  @Test
  void regressionHasInterceptSlopeAndResidual() {
    LineFit line = LineFit.of(List.of(new LineFit.Point(0, 1), new LineFit.Point(0, 3),
        new LineFit.Point(10, 21), new LineFit.Point(10, 23)));
    assertEquals(2, line.intercept(), 1e-9);
    assertEquals(2, line.slope(), 1e-9);
    assertEquals(1, line.residual(), 1e-9);
    assertEquals(202, line.at(100), 1e-9);
  }

  /** A size without a value of the quantity must not become a point of the regression. */
  @Test
  void regressionSkipsSizesWithoutAValue() {
    List<Measurement> samples = new ArrayList<>();
    for (long size : List.of(1L, 2L))
      samples.add(new Measurement("x", "things", size, 1,
          Map.of(Quantity.CPU_MS, 3.0 * size, Quantity.COUNT, 1.0), "abc"));
    samples.add(new Measurement("x", "things", 4, 1, Map.of(Quantity.COUNT, 0.0), "abc"));
    Slope cpuSlope = Slope.of(samples, 4).get(0);
    assertEquals(Quantity.CPU_MS, cpuSlope.quantity());
    assertEquals(12, cpuSlope.predicted(), 1e-9);
    assertTrue(Double.isNaN(cpuSlope.measured()));
    assertTrue(ScaleTable.of(List.of(cpuSlope)).lines().toList().get(1).endsWith("-"));
  }
}
