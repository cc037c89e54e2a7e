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
 * The run of a scale test: the largest size is foretold before it is measured; what exceeds the
 * machine never runs.
 */
class ScaleRunTest {
  private static final long GIB = 1L << 30;

  private final StringWriter measurements = new StringWriter();
  private final ByteArrayOutputStream table = new ByteArrayOutputStream();
  private final List<Long> measured = new ArrayList<>();

  /** CPU grows by 2 a size up to 100, and steeper beyond; a size takes a MiB and a process. */
  private final class Made implements ScaleTest {
    // the table as it stood when a size was measured
    private final List<String> shownBefore = new ArrayList<>();

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
      shownBefore.add(table.toString(StandardCharsets.UTF_8));
      return Map.of("made.thing",
          MetricValues.of(Quantity.CPU_MS, (double) (size <= 100 ? 5 + 2 * size : 4_010)));
    }

    @Override
    public Map<String, Long> measuredLimits() {
      return Map.of("made.ends", 777L);
    }
  }

  private void run(ScaleTest test, long memory, List<Long> sizes) throws Exception {
    new ScaleRun(new Machine(memory), measurements, new PrintStream(table),
        new PrintStream(new ByteArrayOutputStream()), "abc").run(test, sizes, 2);
  }

  @Test
  void foretellsTheLargestSizeBeforeItIsMeasured() throws Exception {
    Made test = new Made();
    run(test, 16 * GIB, List.of(1L, 10L, 100L, 290L));
    assertEquals(List.of(1L, 1L, 10L, 10L, 100L, 100L, 290L, 290L), measured);
    assertEquals("", test.shownBefore.get(5), "nothing foretold before the smaller sizes are done");
    assertTrue(test.shownBefore.get(6).contains("foretold for 290 things")
        && test.shownBefore.get(6).contains("585"), test.shownBefore.get(6)); // 5 + 2 x 290
    String shown = table.toString(StandardCharsets.UTF_8);
    assertTrue(shown.contains("4010") && shown.contains("-85 %"), shown); // 585 foretold of 4,010
    List<Measurement> lines = measurements.toString().lines().map(Measurement::parse).toList();
    assertEquals(9, lines.size());
    assertEquals(
        new Measurement("made.thing", "things", 10, 2, Map.of(Quantity.CPU_MS, 25.0), "abc"),
        lines.get(3));
    assertEquals("made.ends", lines.get(8).what());
    assertEquals(777, lines.get(8).size());
  }

  @Test
  void refusesWhatExceedsHalfOfTheMemoryBeforeAnythingRuns() {
    Machine.ResourceLimitException refused = assertThrows(Machine.ResourceLimitException.class,
        () -> run(new Made(), GIB / 2, List.of(1L, 100L, 257L)));
    assertTrue(refused.getMessage().contains("half of this machine's is 0.3 GiB"),
        refused.getMessage());
    assertEquals(List.of(), measured);
  }

  @Test
  void refusesMoreProcessesThanAMachineShares() {
    Machine.ResourceLimitException refused = assertThrows(Machine.ResourceLimitException.class,
        () -> run(new Made(), 16 * GIB, List.of(301L)));
    assertTrue(refused.getMessage().contains("301 processes; the most is 300"),
        refused.getMessage());
  }

  @Test
  void fitsALineWithItsResidual() {
    LineFit line = LineFit.of(List.of(new LineFit.Point(0, 1), new LineFit.Point(0, 3),
        new LineFit.Point(10, 21), new LineFit.Point(10, 23)));
    assertEquals(2, line.intercept(), 1e-9);
    assertEquals(2, line.slope(), 1e-9);
    assertEquals(1, line.residual(), 1e-9);
    assertEquals(202, line.at(100), 1e-9);
  }

  /** A size at which nothing could be measured is no point of the line. */
  @Test
  void leavesOutWhatWasNotMeasured() {
    List<Measurement> some = new ArrayList<>();
    for (long size : List.of(1L, 2L))
      some.add(new Measurement("x", "things", size, 1,
          Map.of(Quantity.CPU_MS, 3.0 * size, Quantity.COUNT, 1.0), "abc"));
    some.add(new Measurement("x", "things", 4, 1, Map.of(Quantity.COUNT, 0.0), "abc"));
    Slope cpu = Slope.of(some, 4).get(0);
    assertEquals(Quantity.CPU_MS, cpu.quantity());
    assertEquals(12, cpu.predicted(), 1e-9);
    assertTrue(Double.isNaN(cpu.measured()));
    assertTrue(ScaleTable.of(List.of(cpu)).lines().toList().get(1).endsWith("-"));
  }
}
