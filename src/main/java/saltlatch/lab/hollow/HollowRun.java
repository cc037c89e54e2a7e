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
 * One run of a {@link HollowFleet}: starts the nodes, reports until the duration has elapsed or the
 * run is ended, and writes a summary. The report consists of JSON lines: one
 * {@link HollowFleet.Applied} with {@code node}, {@code index} and {@code at_nanos} for each list
 * or change that a node applies, one {@link Sample} a second, and a {@link Summary} at the end. It
 * contains no byte counts, because the sender (the source or relay) counts bytes exactly.
 */
public final class HollowRun {
  private static final long POLL_INTERVAL_MS = 100;
  private static final int POLLS_PER_SAMPLE = 10;
  private static final int REPORT_TIMEOUT_SECONDS = 30;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Gson GSON = new GsonBuilder()
      .setFieldNamingPolicy(FieldNamingPolicy.LOWER_CASE_WITH_UNDERSCORES).create();

  /**
   * Resources that the process has used so far and the state of its nodes. {@code heapBytes}
   * includes garbage. The datagram counts are 0 if membership is off.
   */
  public record Sample(long sampleNanos, long cpuMs, long heapBytes, long rssBytes, int nodes,
      int withList, long leastIndex, long newestIndex, long datagramsOut, long datagramsIn) {}

  /**
   * Totals at the end of a run: {@code heldHeapBytes} is the heap after a garbage collection while
   * the nodes still exist, and {@code counters} are the sums over all nodes.
   */
  public record Summary(int summaryOf, long cpuMs, long heldHeapBytes, long rssBytes, int withList,
      long leastIndex, long newestIndex, long entries, Map<String, Long> counters) {}

  private final HollowFleet fleet;
  private final Writer report;
  private final PrintStream progress;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final CountDownLatch reported = new CountDownLatch(1);

  /**
   * Creates a run that does not start the nodes yet.
   *
   * @param report   receives the JSON lines
   * @param progress receives one line a second
   */
  public HollowRun(HollowFleet fleet, Writer report, PrintStream progress) {
    this.fleet = fleet;
    this.report = report;
    this.progress = progress;
  }

  /**
   * Runs for {@code seconds}, or until {@link #end} if that is 0; returns after the report is
   * complete.
   */
  public Summary run(GatewayPolicy.Factory policyFactory, double startOverSeconds, double seconds)
      throws IOException, InterruptedException {
    long deadline = seconds > 0 ? System.nanoTime() + (long) (seconds * NANOS_PER_SECOND)
        : Long.MAX_VALUE;
    fleet.start(policyFactory, startOverSeconds);
    int polls = 0;
    while (System.nanoTime() < deadline && !ended.await(POLL_INTERVAL_MS, TimeUnit.MILLISECONDS)) {
      drain();
      if (++polls % POLLS_PER_SAMPLE == 0) sample();
    }
    drain();
    Summary summary = summary();
    write(summary);
    reported.countDown();
    return summary;
  }

  /**
   * Ends the run from another thread; returns after the report is complete or after
   * {@value #REPORT_TIMEOUT_SECONDS} s.
   */
  public void end() {
    ended.countDown();
    try {
      if (!reported.await(REPORT_TIMEOUT_SECONDS, TimeUnit.SECONDS))
        progress.println("hollow: the report is incomplete after " + REPORT_TIMEOUT_SECONDS + " s");
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
    report.write(GSON.toJson(line) + "\n");
    report.flush();
  }

  private void sample() throws IOException {
    HollowFleet.Progress status = fleet.progress();
    HollowFleet.Datagrams datagrams = fleet.datagrams();
    long pid = ProcessHandle.current().pid();
    write(new Sample(System.nanoTime(), ProcessMetrics.cpu(pid).processMs(), heapBytes(),
        ProcessMetrics.rssBytes(pid), status.nodes(), status.withList(), status.leastIndex(),
        status.newestIndex(), datagrams.out(), datagrams.in()));
    progress.println("hollow: " + status.withList() + " of " + status.nodes()
        + " nodes have a list, all of them index " + status.leastIndex() + ", newest "
        + status.newestIndex());
  }

  private Summary summary() throws IOException {
    HollowFleet.Progress status = fleet.progress();
    long pid = ProcessHandle.current().pid();
    long cpuMs = ProcessMetrics.cpu(pid).processMs();
    System.gc();
    return new Summary(status.nodes(), cpuMs, heapBytes(), ProcessMetrics.rssBytes(pid),
        status.withList(), status.leastIndex(), status.newestIndex(), status.entries(),
        fleet.counters());
  }

  private static long heapBytes() {
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
