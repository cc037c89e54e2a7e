package saltlatch.wire.client;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.Ticks;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.transport.Scheduler;
import saltlatch.wire.transport.TcpConnectionInfo;

/**
 * Counts the clients' connections that this node closes, and logs why: at most
 * {@link #MAX_LINES_PER_SECOND}, and a line with the number of those left out. Owned by the event
 * loop.
 */
final class ClosedConnectionLog {
  private static final Logger LOG = LoggerFactory.getLogger(ClosedConnectionLog.class);
  /** Enough for a usual shutdown; a crowd of connections must not fill the log. */
  private static final int MAX_LINES_PER_SECOND = 200;
  /** Lines are written together, since a slow write would delay the closes of other connections. */
  private static final long DELAY_TICKS = Ticks.PER_SECOND / 10;
  private static final long UNKNOWN_UNREAD_BYTES = -1;

  private record Entry(CloseReason reason, CloseDecision decision, CloseDecision.State state,
      long readBytes, long unreadBytes) {}

  private final Scheduler scheduler;
  private final NodeMetrics metrics;
  private final List<Entry> entries = new ArrayList<>();
  private long secondBeganTicks;
  private int lines; // in this second
  private long leftOut;

  ClosedConnectionLog(Scheduler scheduler, NodeMetrics metrics) {
    this.scheduler = scheduler;
    this.metrics = metrics;
    secondBeganTicks = scheduler.now();
  }

  /**
   * Adds a close, just before it.
   *
   * @param readBytes     the bytes that this node has read from the connection
   * @param receivedBytes the bytes that its operating system has received, as
   *                      {@link TcpConnectionInfo#receivedBytes} tells
   */
  void add(CloseReason reason, CloseDecision decision, CloseDecision.State state, long readBytes,
      long receivedBytes) {
    long unreadBytes = receivedBytes < readBytes ? UNKNOWN_UNREAD_BYTES : receivedBytes - readBytes;
    metrics.add(Metric.CLIENT_CONNECTIONS_CLOSED);
    if (unreadBytes > 0 || decision == CloseDecision.RESET)
      metrics.add(Metric.CLIENT_CONNECTIONS_RESET);
    if (entries.isEmpty() && leftOut == 0)
      scheduler.scheduleAt(scheduler.now() + DELAY_TICKS, this::flush);
    if (hasRoom()) entries.add(new Entry(reason, decision, state, readBytes, unreadBytes));
    else leftOut++;
  }

  /** Writes the lines that wait. */
  void flush() {
    for (Entry entry : entries) {
      LOG.info(
          "client_connection_closed reason={} how={} state={} owed={} read_bytes={}"
              + " unread_bytes={}",
          entry.reason.logName(), entry.decision.logName(), entry.state.logName(),
          entry.state.owedReplies(), entry.readBytes, entry.unreadBytes);
    }
    entries.clear();
    if (leftOut > 0) LOG.info("client_connections_closed left_out={}", leftOut);
    leftOut = 0;
  }

  private boolean hasRoom() {
    long nowTicks = scheduler.now();
    if (nowTicks - secondBeganTicks >= Ticks.PER_SECOND) {
      secondBeganTicks = nowTicks;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND) return false;
    lines++;
    return true;
  }
}
