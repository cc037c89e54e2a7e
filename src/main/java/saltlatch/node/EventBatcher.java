package saltlatch.node;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;

/**
 * Hands events to the policy: what one turn of the event loop brings goes in one batch, in the
 * order of arrival. A request of a client that closed in the same turn thus comes together with the
 * close, and is not forwarded for nobody.
 *
 * <p>The policy's one caller; owned by the event loop.
 */
final class EventBatcher {
  /** What follows a batch. Called on the event loop. */
  interface Listener {
    /** The policy threw an exception at these events, and may have handled some of them. */
    void batchFailed(List<GatewayEvent> events);

    /** The batch is over, be it handled or failed. */
    void batchFinished();
  }

  private static final Logger LOG = LoggerFactory.getLogger(EventBatcher.class);

  private final EventLoopScheduler scheduler;
  private final StallDetector stalls;
  private final NodeMetrics metrics;
  private final Listener listener;
  private GatewayPolicy policy;
  private List<GatewayEvent> batch = new ArrayList<>();
  private boolean scheduled;

  EventBatcher(EventLoopScheduler scheduler, StallDetector stalls, NodeMetrics metrics,
      Listener listener) {
    this.scheduler = scheduler;
    this.stalls = stalls;
    this.metrics = metrics;
    this.listener = listener;
  }

  /** Sets the policy, before the first batch. */
  void start(GatewayPolicy to) {
    policy = to;
  }

  /** Adds an event to the batch of this turn. */
  void add(GatewayEvent event) {
    batch.add(event);
    if (scheduled) return;
    scheduled = true;
    scheduler.afterCurrentIteration(this::flush);
  }

  /** Whether a batch is waiting for the end of this turn. */
  boolean isScheduled() {
    return scheduled;
  }

  /**
   * Asks the policy whether an attempt whose connection has just come up may still be written,
   * after all that has happened meanwhile.
   */
  boolean mayStartAttempt(long requestId, int attempt) {
    return policy.mayStartAttempt(scheduler.now(), requestId, attempt);
  }

  /** Hands over the batch now; does nothing if it is empty. */
  void flush() {
    scheduled = false;
    if (batch.isEmpty()) return;
    stalls.check();
    List<GatewayEvent> events = batch;
    batch = new ArrayList<>();
    try {
      policy.handle(scheduler.now(), events);
    } catch (RuntimeException e) {
      // Guards against a fault of the policy that ends the process: it costs the batch's requests.
      LOG.error("policy_failed events={}", events.size(), e);
      metrics.add(Metric.EXCEPTIONS);
      listener.batchFailed(events);
    }
    listener.batchFinished();
    scheduler.updateWakeUp();
  }
}
