package saltlatch.node;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;
import saltlatch.wire.client.ClientListener;

/**
 * The planned shutdown of a node in four phases. First the node serves normally for as long as the
 * time until SIGKILL permits, or until all clients have closed their connections; otherwise
 * requests would fail for clients that have no other node until this one has restarted. Then each
 * connection is closed after its next reply, and idle ones are closed little by little, so that few
 * are left for the next phase. Then requests in flight fail, since SIGKILL would lose them, new
 * connections are refused, and each connection is closed once what has arrived on it is answered.
 * Finally the connections whose clients do not take their replies are reset, so that the process
 * ends before SIGKILL.
 *
 * <p>Runs on the event loop.
 */
final class GracefulShutdown {
  /** Clients open new connections for up to 0.4 s after SIGTERM; 0.1 s is margin. */
  private static final long MIN_SERVING_MS = 500;
  private static final long CHECK_INTERVAL_MS = 20;
  /** All idle connections are to be closed this many checks before requests are rejected. */
  private static final long FREE_CHECKS = 10;
  /** SIGKILL is sent no sooner than the longest client timeout, counted up to this limit. */
  private static final long MAX_CLIENT_TIMEOUT_MS = 3_000;
  /** Time from the end of the client timeout to SIGKILL. */
  private static final long KILL_MARGIN_MS = 700;
  /** Part of that margin reserved for the JVM's exit, which may get only part of a core. */
  private static final long JVM_EXIT_MS = 400;
  /** From the rejection of all requests to the reset of the connections that are still open. */
  private static final long CLOSING_MS = 150;
  /** The JVM has to exit before SIGKILL, so a longer wait has no use. */
  static final long MAX_DURATION_MS = MAX_CLIENT_TIMEOUT_MS + KILL_MARGIN_MS - JVM_EXIT_MS
      + 2 * CLOSING_MS;

  private final Vertx vertx;
  private final ClientListener listener;
  private final NodeRuntime runtime;
  private final Schedule schedule;
  private final Promise<Void> done;
  private long startNanos;

  GracefulShutdown(Vertx vertx, ClientListener listener, NodeRuntime runtime, Schedule schedule,
      Promise<Void> done) {
    this.vertx = vertx;
    this.listener = listener;
    this.runtime = runtime;
    this.schedule = schedule;
    this.done = done;
  }

  /**
   * The start of each shutdown phase, in ms after SIGTERM.
   *
   * @param drainStartMs  when connections start to close after their next reply; one without a
   *     pending reply stays open until {@code rejectStartMs}. The interval between the two is the
   *     longest latency objective, or less if {@code MIN_SERVING_MS} delays the first, so that
   *     requests in flight can finish.
   * @param rejectStartMs when new requests start to be rejected, and requests in flight fail
   */
  record Schedule(long drainStartMs, long rejectStartMs) {
    static Schedule of(GatewaySettings settings) {
      long clientTimeoutTicks = 0;
      long latencyObjectiveTicks = 0;
      for (GatewaySettings.RequestClass requestClass : settings.requestClasses()) {
        clientTimeoutTicks = Math.max(clientTimeoutTicks, requestClass.clientTimeoutTicks());
        latencyObjectiveTicks = Math.max(latencyObjectiveTicks,
            requestClass.latencyObjectiveTicks());
      }
      long latestRejectMs = Math.min(MAX_CLIENT_TIMEOUT_MS,
          clientTimeoutTicks / Ticks.PER_MILLISECOND) + KILL_MARGIN_MS - JVM_EXIT_MS;
      long drainStartMs = Math.max(MIN_SERVING_MS,
          latestRejectMs - latencyObjectiveTicks / Ticks.PER_MILLISECOND);
      return new Schedule(drainStartMs, Math.max(drainStartMs + CHECK_INTERVAL_MS, latestRejectMs));
    }
  }

  /** Starts the shutdown; completes the promise once no client is connected. */
  void start() {
    startNanos = System.nanoTime();
    vertx.setTimer(schedule.drainStartMs(), t -> listener.closeConnectionsAfterReply());
    vertx.setTimer(schedule.rejectStartMs(), t -> rejectAll());
    vertx.setTimer(schedule.rejectStartMs() + CLOSING_MS, t -> listener.terminateConnections());
    vertx.setPeriodic(MIN_SERVING_MS, CHECK_INTERVAL_MS, this::check);
  }

  private void rejectAll() {
    listener.stopAccepting();
    listener.failPendingAndRejectNew();
    runtime.leaveFleet();
    listener.closeIdleConnections();
  }

  private void check(long periodicTimer) {
    // includes connections opened since the last check
    if (listener.isRejecting()) listener.closeIdleConnections();
    else if (listener.isClosing()) closeSomeIdleConnections();
    if (listener.openConnections() > 0) return;
    if (listener.isAccepting()) {
      listener.stopAccepting(); // a connection may have been accepted: ends at a later check
      return;
    }
    vertx.cancelTimer(periodicTimer);
    rejectAll(); // requests that arrive during the close must not be forwarded
    listener.flushLog();
    done.complete();
  }

  /** Spreads the closes over the time until all requests are rejected. */
  private void closeSomeIdleConnections() {
    long leftMs = schedule.rejectStartMs() - elapsedMs();
    long checksLeft = Math.max(1, leftMs / CHECK_INTERVAL_MS - FREE_CHECKS);
    long count = (listener.openConnections() + checksLeft - 1) / checksLeft;
    listener.closeIdleConnections((int) count);
  }

  private long elapsedMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
