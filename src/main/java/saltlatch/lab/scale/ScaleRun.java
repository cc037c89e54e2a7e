package saltlatch.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs one scale test at each size in ascending order, with several repeats. Before the largest
 * size it prints the prediction of a linear regression over the smaller sizes. Each measurement is
 * written immediately.
 */
public final class ScaleRun {
  private static final int BAR_WIDTH = 40; // characters

  private final Machine machine;
  private final Writer measurements;
  private final PrintStream table;
  private final PrintStream progress;
  private final String commit;
  private final List<Measurement> written = new ArrayList<>();

  /**
   * Creates a run that writes to these outputs.
   *
   * @param machine      machine whose limits the sizes must not exceed
   * @param measurements receives a JSON line for each measurement
   * @param table        receives the tables
   * @param progress     receives the progress bar
   * @param commit       revision that is measured, or null to determine it with git
   */
  public ScaleRun(Machine machine, Writer measurements, PrintStream table, PrintStream progress,
      String commit) {
    this.machine = machine;
    this.measurements = measurements;
    this.table = table;
    this.progress = progress;
    this.commit = commit == null ? Revision.here() : commit;
  }

  /**
   * Runs the test. Before anything runs, throws {@link Machine.ResourceLimitException} if one of
   * the sizes exceeds the machine's limits.
   */
  public void run(ScaleTest test, List<Long> sizes, int repeats) throws Exception {
    for (long size : sizes) machine.admit(test.name(), size, test.requirements(size));
    long largest = sizes.get(sizes.size() - 1);
    int done = 0;
    for (long size : sizes) {
      if (size == largest) {
        progress.println();
        table.println("lab scale " + test.name() + ", foretold for " + largest + " " + test.grows()
            + " by the smaller sizes, before it runs:\n"
            + ScaleTable.of(Slope.of(written, largest)));
      }
      for (int repeat = 1; repeat <= repeats; repeat++) {
        showProgress(test, size, repeat, done++, sizes.size() * repeats);
        for (Map.Entry<String, MetricValues> result : test.measure(size, repeat).entrySet()) {
          write(new Measurement(result.getKey(), test.grows(), size, repeat,
              result.getValue().map(), commit));
        }
      }
    }
    for (Map.Entry<String, Long> limit : test.measuredLimits().entrySet()) {
      write(new Measurement(limit.getKey(), test.grows(), limit.getValue(), 1,
          MetricValues.of(Quantity.COUNT, limit.getValue()).map(), commit));
      table.println(limit.getKey() + ": " + limit.getValue() + " " + test.grows());
    }
    progress.println();
    table.println("lab scale " + test.name() + ", " + test.grows() + " " + sizes + ", " + repeats
        + " repeats, text " + commit + ":\n" + ScaleTable.of(Slope.of(written, largest)));
    if (!test.remark().isEmpty()) table.println(test.remark());
  }

  private void write(Measurement measurement) throws IOException {
    written.add(measurement);
    measurements.write(measurement.toJson() + "\n");
    measurements.flush();
  }

  private void showProgress(ScaleTest test, long size, int repeat, int done, int total) {
    int filled = BAR_WIDTH * done / total;
    progress.print(
        "\r" + test.name() + " [" + "#".repeat(filled) + " ".repeat(BAR_WIDTH - filled) + "] "
            + done + "/" + total + "  " + size + " " + test.grows() + ", repeat " + repeat + "   ");
    progress.flush();
  }
}
