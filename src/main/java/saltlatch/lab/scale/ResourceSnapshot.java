package saltlatch.lab.scale;

import java.io.IOException;
import saltlatch.lab.rig.ProcessMetrics;

/** What one process and one source have used between two instants. */
final class ResourceSnapshot {
  private static final double NANOS = 1e9; // in a second

  private final long pid;
  private final SourceProcess source;
  private final ProcessMetrics.Cpu cpu;
  private final SourceProcess.Sent sent;
  private final long at = System.nanoTime();

  private ResourceSnapshot(long pid, SourceProcess source)
      throws IOException, InterruptedException {
    this.pid = pid;
    this.source = source;
    sent = source.sent();
    cpu = ProcessMetrics.cpu(pid);
  }

  /** Reads both now. */
  static ResourceSnapshot of(long pid, SourceProcess source)
      throws IOException, InterruptedException {
    return new ResourceSnapshot(pid, source);
  }

  /**
   * Since a reading: CPU of the process, seconds, bytes and messages of the source, changes that it
   * put.
   */
  record ResourceUsage(double cpuMs, double seconds, long bytes, long messages, long changes) {}

  /** What was used from then until now. */
  ResourceUsage usageUntilNow() throws IOException, InterruptedException {
    ResourceSnapshot now = of(pid, source);
    return new ResourceUsage(now.cpu.msSince(cpu), (now.at - at) / NANOS,
        now.sent.bytesOut() - sent.bytesOut(), now.sent.messages() - sent.messages(),
        now.sent.index() - sent.index());
  }
}
