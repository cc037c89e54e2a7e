package saltlatch.lab.scale;

import java.io.IOException;
import saltlatch.lab.rig.ProcessMetrics;

/** The counters of one process and one source at a time, to compute the usage since then. */
final class ResourceSnapshot {
  private static final double NANOS_PER_SECOND = 1e9;

  private final long pid;
  private final SourceProcess source;
  private final ProcessMetrics.Cpu cpu;
  private final SourceProcess.Sent sent;
  private final long atNanos = System.nanoTime();

  private ResourceSnapshot(long pid, SourceProcess source)
      throws IOException, InterruptedException {
    this.pid = pid;
    this.source = source;
    sent = source.sent();
    cpu = ProcessMetrics.cpu(pid);
  }

  /** Reads the current counters of both. */
  static ResourceSnapshot of(long pid, SourceProcess source)
      throws IOException, InterruptedException {
    return new ResourceSnapshot(pid, source);
  }

  /**
   * Usage between two snapshots: CPU time of the process, elapsed seconds, and the source's sent
   * bytes, sent messages and changes.
   */
  record ResourceUsage(double cpuMs, double seconds, long bytes, long messages, long changes) {}

  /** Returns the usage from this snapshot until now. */
  ResourceUsage usageUntilNow() throws IOException, InterruptedException {
    ResourceSnapshot now = of(pid, source);
    return new ResourceUsage(now.cpu.msSince(cpu), (now.atNanos - atNanos) / NANOS_PER_SECOND,
        now.sent.bytesOut() - sent.bytesOut(), now.sent.messages() - sent.messages(),
        now.sent.index() - sent.index());
  }
}
