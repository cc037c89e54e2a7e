package saltlatch.node;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;
import saltlatch.wire.client.ClientListener;

/**
 * The planned end of a node: it goes on serving for as long as SIGKILL leaves time, or until all
 * clients have closed their connections. Guards against clients that have no other node until this
 * one is up again: what they request meanwhile would fail. Then connections end as they fall idle;
 * at last what is still in flight fails, since SIGKILL would lose it, and what still comes is
 * rejected, so that each connection ends with all read that has come.
 *
 * <p>Runs on the event loop.
 */
final class GracefulShutdown {
  /** New connections keep coming for up to 0.4 s after SIGTERM; 0.1 s of margin. */
  private static final long MIN_SERVING_MS = 500;
  private static final long CHECK_INTERVAL_MS = 20;
  /** SIGKILL comes no sooner than the longest client timeout, of which this counts at most. */
  private static final long MAX_CLIENT_TIMEOUT_MS = 3_000;
  /** What SIGKILL leaves on top of the client timeout. */
  private static final long KILL_MARGIN_MS = 700;
  /** Kept of that margin for the JVM's own end on part of a core. */
  private static final long JVM_EXIT_MS = 400;
  /** SIGKILL comes no later: there is no use in waiting longer. */
  static final long MAX_DURATION_MS = MAX_CLIENT_TIMEOUT_MS + KILL_MARGIN_MS;

  private final Vertx vertx;
  private final ClientListener listener;
  private final NodeRuntime runtime;
  private final Schedule schedule;
  private final Promise<Void> done;

  GracefulShutdown(Vertx vertx, ClientListener listener, NodeRuntime runtime, Schedule schedule,
      Promise<Void> done) {
    this.vertx = vertx;
    this.listener = listener;
    this.runtime = runtime;
    this.schedule = schedule;
    this.done = done;
  }

  /**
   * When what happens, in ms after SIGTERM.
   *
   * @param drainStartMs from then on a connection ends behind its last reply, and one that has
   *     nothing to be answered stays until {@code rejectStartMs}; the longest latency objective is
   *     left then, for what is in flight
   * @param rejectStartMs    what comes is rejected from then on, and what is in flight fails
   */
  record Schedule(long drainStartMs, long rejectStartMs) {
    static Schedule of(GatewaySettings settings) {
      long clientTimeoutTicks = 0;
      long latencyObjectiveTicks = 0;
      for (GatewaySettings.RequestClass each : settings.requestClasses()) {
        clientTimeoutTicks = Math.max(clientTimeoutTicks, each.clientTimeoutTicks());
        latencyObjectiveTicks = Math.max(latencyObjectiveTicks, each.latencyObjectiveTicks());
      }
      long lastMs = Math.min(MAX_CLIENT_TIMEOUT_MS, clientTimeoutTicks / Ticks.PER_MILLISECOND)
          + KILL_MARGIN_MS - JVM_EXIT_MS;
      long drainStartMs = Math.max(MIN_SERVING_MS,
          lastMs - latencyObjectiveTicks / Ticks.PER_MILLISECOND);
      return new Schedule(drainStartMs, Math.max(drainStartMs + CHECK_INTERVAL_MS, lastMs));
    }
  }

  /** Begins; completes the promise once no client is connected any more. */
  void start() {
    vertx.setTimer(schedule.drainStartMs(), t -> listener.closeConnectionsAfterReply());
    vertx.setTimer(schedule.rejectStartMs(), t -> rejectAll());
    vertx.setPeriodic(MIN_SERVING_MS, CHECK_INTERVAL_MS, this::check);
  }

  private void rejectAll() {
    listener.failPendingAndRejectNew();
    runtime.leaveFleet();
  }

  private void check(long periodicTimer) {
    // also those that came since the last check
    if (listener.isRejecting()) listener.closeIdleConnections();
    if (listener.openConnections() > 0) return;
    vertx.cancelTimer(periodicTimer);
    rejectAll(); // what comes while all is being closed is not forwarded
    done.complete();
  }
}
