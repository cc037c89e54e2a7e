package saltlatch.lab.scale;

import java.util.List;
import java.util.Map;

/**
 * Measures the cost of one kind of growth at given sizes. Not thread-safe: one size is measured at
 * a time.
 */
public interface ScaleTest {
  /** Returns the name on the command line, which also starts the measurements' names. */
  String name();

  /** Returns what the size counts, such as {@code app servers}. */
  String grows();

  /** Returns the default sizes, in ascending and roughly geometric order. */
  List<Long> sizes();

  /** Returns upper bounds on the machine's resources that the test uses at a size. */
  ResourceRequirements requirements(long size);

  /**
   * Measures one repeat at one size; returns the values by the name of the measurement, such as
   * {@code list.start}.
   */
  Map<String, MetricValues> measure(long size, int repeat) throws Exception;

  /**
   * Returns the largest size that works, by the name of the measurement. Called after all sizes
   * were measured; most tests return an empty map.
   */
  default Map<String, Long> measuredLimits() throws Exception {
    return Map.of();
  }

  /**
   * Returns a remark for below the table, such as what the test can't show, or an empty string if
   * there is none.
   */
  default String remark() {
    return "";
  }
}
