package saltlatch.lab.scale;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Runs one scale test: every size, smallest first, so many repeats each; before the largest it
 * prints what the line through the smaller ones foretells for it. Each measurement is written as it
 * is made.
 */
public final class ScaleRun {
  private static final int BAR = 40; // characters

  private final Machine machine;
  private final Writer measurements;
  private final PrintStream table;
  private final PrintStream progress;
  private final String commit;
  private final List<Measurement> made = new ArrayList<>();

  /**
   * @param measurements takes a JSON line for each measurement
   * @param table        takes the tables
   * @param progress     takes the progress bar
   * @param commit       the text that is measured; null: the one that git tells
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
   * Fails with {@link Machine.ResourceLimitException} before anything runs where one of the sizes
   * is beyond the machine's limits.
   */
  public void run(ScaleTest test, List<Long> sizes, int repeats) throws Exception {
    for (long size : sizes) machine.admit(test.name(), size, test.requirements(size));
    long largest = sizes.get(sizes.size() - 1);
    int done = 0;
    for (long size : sizes) {
      if (size == largest) {
        progress.println();
        table.println("lab scale " + test.name() + ", foretold for " + largest + " " + test.grows()
            + " by the smaller sizes, before it runs:\n" + ScaleTable.of(Slope.of(made, largest)));
      }
      for (int repeat = 1; repeat <= repeats; repeat++) {
        show(test, size, repeat, done++, sizes.size() * repeats);
        for (Map.Entry<String, MetricValues> one : test.measure(size, repeat).entrySet()) {
          write(new Measurement(one.getKey(), test.grows(), size, repeat, one.getValue().map(),
              commit));
        }
      }
    }
    for (Map.Entry<String, Long> end : test.measuredLimits().entrySet()) {
      write(new Measurement(end.getKey(), test.grows(), end.getValue(), 1,
          MetricValues.of(Quantity.COUNT, end.getValue()).map(), commit));
      table.println(end.getKey() + ": " + end.getValue() + " " + test.grows());
    }
    progress.println();
    table.println("lab scale " + test.name() + ", " + test.grows() + " " + sizes + ", " + repeats
        + " repeats, text " + commit + ":\n" + ScaleTable.of(Slope.of(made, largest)));
    if (!test.remark().isEmpty()) table.println(test.remark());
  }

  private void write(Measurement one) throws IOException {
    made.add(one);
    measurements.write(one.toJson() + "\n");
    measurements.flush();
  }

  private void show(ScaleTest test, long size, int repeat, int done, int all) {
    int filled = BAR * done / all;
    progress.print("\r" + test.name() + " [" + "#".repeat(filled) + " ".repeat(BAR - filled) + "] "
        + done + "/" + all + "  " + size + " " + test.grows() + ", repeat " + repeat + "   ");
    progress.flush();
  }
}
