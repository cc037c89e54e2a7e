package saltlatch.lab.scale;

import java.util.List;
import java.util.Map;

/**
 * One thing that grows, and how what a size of it costs is measured. One caller, one size at a
 * time.
 */
public interface ScaleTest {
  /** Its name on the command line and the beginning of its measurements' names. */
  String name();

  /** What grows, in words. */
  String grows();

  /** Sizes that it measures where none are asked for, ascending in geometric steps. */
  List<Long> sizes();

  /** What a size takes of the machine at the most. */
  ResourceRequirements requirements(long size);

  /**
   * Measures one repeat of one size: the values by the name of the measurement, such as
   * {@code list.start}.
   */
  Map<String, MetricValues> measure(long size, int repeat) throws Exception;

  /**
   * The size at which it ends, by the name of the measurement, once all sizes were measured; none
   * for most tests.
   */
  default Map<String, Long> measuredLimits() throws Exception {
    return Map.of();
  }

  /** Plain words that belong beside its table, such as what its tools cannot show; empty: none. */
  default String remark() {
    return "";
  }
}
