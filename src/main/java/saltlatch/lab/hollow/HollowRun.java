package saltlatch.lab.hollow;

import com.google.gson.FieldNamingPolicy;
import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import saltlatch.api.GatewayPolicy;
import saltlatch.lab.rig.ProcessMetrics;

/**
 * One run of a {@link HollowFleet}: starts it, reports until its time is over or it is ended, and
 * sums up. The report is JSON lines: {@link HollowFleet.Applied} as {@code node}, {@code index},
 * {@code at_nanos}; a {@link Sample} a second; a {@link Summary} last. Bytes are not among them:
 * they are counted exactly where they are written, at the source's or relay's side.
 */
public final class HollowRun {
  private static final long LOOK_MS = 100; // between two looks at what was applied
  private static final int LOOKS = 10; // for each sample
  private static final int REPORT_S = 30; // seconds that the end waits for the report
  private static final double NANOS = 1e9; // in a second
  private static final Gson JSON = new GsonBuilder()
      .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES).create();

  /**
   * What the process has used by then; the heap as it is, before a collection; datagrams where
   * nodes know each other.
   */
  public record Sample(long sampleNanos, long cpuMs, long heapBytes, long rssBytes, int nodes,
      int withList, long leastIndex, long newestIndex, long datagramsOut, long datagramsIn) {}

  /**
   * At the end: the heap after a collection, with the nodes still in it, and the nodes' counters
   * summed.
   */
  public record Summary(int summaryOf, long cpuMs, long heldHeapBytes, long rssBytes, int withList,
      long leastIndex, long newestIndex, long entries, Map<String, Long> counters) {}

  private final HollowFleet fleet;
  private final Writer report;
  private final PrintStream progress;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final CountDownLatch reported = new CountDownLatch(1);

  /**
   * @param report   takes the JSON lines
   * @param progress takes a line a second
   */
  public HollowRun(HollowFleet fleet, Writer report, PrintStream progress) {
    this.fleet = fleet;
    this.report = report;
    this.progress = progress;
  }

  /** Runs for so many seconds, 0: until {@link #end}; returns once all is reported. */
  public Summary run(GatewayPolicy.Factory maker, double startOverSeconds, double seconds)
      throws IOException, InterruptedException {
    long until = seconds > 0 ? System.nanoTime() + (long) (seconds * NANOS) : Long.MAX_VALUE;
    fleet.start(maker, startOverSeconds);
    int look = 0;
    while (System.nanoTime() < until && !ended.await(LOOK_MS, TimeUnit.MILLISECONDS)) {
      drain();
      if (++look % LOOKS == 0) sample();
    }
    drain();
    Summary summary = summary();
    write(summary);
    reported.countDown();
    return summary;
  }

  /** Ends the run from another thread, and returns once all is reported, or after a while. */
  public void end() {
    ended.countDown();
    try {
      if (!reported.await(REPORT_S, TimeUnit.SECONDS))
        progress.println("hollow: the report is not whole");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void drain() throws IOException {
    for (HollowFleet.Applied applied = fleet.poll(); applied != null; applied = fleet.poll())
      write(applied);
    report.flush();
  }

  private void write(Object line) throws IOException {
    report.write(JSON.toJson(line) + "\n");
    report.flush();
  }

  private void sample() throws IOException {
    HollowFleet.Progress at = fleet.progress();
    HollowFleet.Datagrams datagrams = fleet.datagrams();
    long pid = ProcessHandle.current().pid();
    write(new Sample(System.nanoTime(), ProcessMetrics.cpu(pid).processMs(), heapBytes(),
        ProcessMetrics.rssBytes(pid), at.nodes(), at.withList(), at.leastIndex(), at.newestIndex(),
        datagrams.out(), datagrams.in()));
    progress.println(
        "hollow: " + at.withList() + " of " + at.nodes() + " nodes have a list, all of them index "
            + at.leastIndex() + ", newest " + at.newestIndex());
  }

  private Summary summary() throws IOException {
    HollowFleet.Progress at = fleet.progress();
    long pid = ProcessHandle.current().pid();
    long cpuMs = ProcessMetrics.cpu(pid).processMs();
    System.gc();
    return new Summary(at.nodes(), cpuMs, heapBytes(), ProcessMetrics.rssBytes(pid), at.withList(),
        at.leastIndex(), at.newestIndex(), at.entries(), fleet.counters());
  }

  private static long heapBytes() {
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
