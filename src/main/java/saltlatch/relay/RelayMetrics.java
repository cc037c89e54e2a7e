package saltlatch.relay;

import java.lang.management.ManagementFactory;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;
import saltlatch.distribution.RelayStatus;

/** Formats a relay's metrics for operators; docs/relay.md describes each line. */
final class RelayMetrics {
  private static final long NANOS_PER_MS = 1_000_000;

  private RelayMetrics() {}

  /** Returns one {@code name=value} per line, in a fixed order. */
  static String text(RelayStatus status, String upstream, WatcherServer server) {
    Map<String, Object> lines = new LinkedHashMap<>();
    lines.put("version", status.version().index());
    lines.put("series", status.version().series());
    lines.put("entries", status.entries());
    lines.put("upstream", upstream);
    lines.put("stale_ms", status.staleMs());
    lines.put("watchers", status.watchers());
    lines.put("behind", status.behind());
    lines.put("waiting", status.waiting());
    lines.put("changes_sent", status.changesSent());
    lines.put("coalesced", status.coalescedSent());
    lines.put("snapshots_sent", status.snapshotsSent());
    lines.put("refused", status.refused());
    lines.put("stalled", status.stalled());
    lines.put("upstream_failures", status.upstreamFailures());
    lines.put("malformed", status.upstreamMalformed());
    lines.put("older_passed_over", status.olderPassedOver());
    lines.put("log_changes", status.logChanges());
    lines.put("connections", server.connections());
    lines.put("connections_refused", server.connectionsRefused());
    lines.put("encodings", server.encodings());
    lines.put("encoded_bytes", server.encodedBytes());
    lines.put("bytes_out", server.bytesOut());
    lines.put("cpu_ms", cpuMs());
    return lines.entrySet().stream().map(line -> line.getKey() + "=" + line.getValue() + "\n")
        .collect(Collectors.joining());
  }

  private static long cpuMs() {
    var system = (com.sun.management.OperatingSystemMXBean) ManagementFactory
        .getOperatingSystemMXBean();
    return system.getProcessCpuTime() / NANOS_PER_MS;
  }
}
