package saltlatch.node;

import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayPolicy;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.wire.transport.InputTurns;

/**
 * Passes events to the policy, with all events of one event loop iteration in one batch in the
 * order of their arrival. If a client sends a request and closes its connection within one
 * iteration, the policy receives both together and does not forward a request without a client.
 *
 * <p>All events reach the policy through this class. Owned by the event loop.
 */
final class EventBatcher {
  /** Receives the result of each batch, on the event loop. */
  interface Listener {
    /** The policy threw an exception while it handled these events; some may have been handled. */
    void batchFailed(List<GatewayEvent> events);

    /** The batch is finished, whether or not the policy failed. */
    void batchFinished();
  }

  private static final Logger LOG = LoggerFactory.getLogger(EventBatcher.class);

  private final EventLoopScheduler scheduler;
  private final StallDetector stalls;
  /** Step of the mean time of an event; it averages about 20 batches. */
  private static final double MEAN_STEP = 0.05;

  private final InputTurns inputTurns;
  private final NodeMetrics metrics;
  private final Listener listener;
  private GatewayPolicy policy;
  private List<GatewayEvent> batch = new ArrayList<>();
  private boolean scheduled;
  private double meanEventTicks; // that the policy takes for an event

  EventBatcher(EventLoopScheduler scheduler, StallDetector stalls, InputTurns inputTurns,
      NodeMetrics metrics, Listener listener) {
    this.scheduler = scheduler;
    this.stalls = stalls;
    this.inputTurns = inputTurns;
    this.metrics = metrics;
    this.listener = listener;
  }

  /** Sets the policy; called before the first batch. */
  void start(GatewayPolicy gatewayPolicy) {
    policy = gatewayPolicy;
  }

  /** Adds an event to the batch of this event loop iteration. */
  void add(GatewayEvent event) {
    batch.add(event);
    if (scheduled) return;
    scheduled = true;
    scheduler.afterCurrentIteration(this::flush);
  }

  /**
   * Adds the arrival of a request, and takes the time that the policy is likely to need for it off
   * the turn of the client's connection. Guards against a batch of so many requests that all other
   * events wait.
   */
  void addArrival(GatewayEvent.RequestArrived arrival) {
    inputTurns.addCost(meanEventTicks);
    add(arrival);
  }

  /** Returns whether a batch is scheduled for the end of this event loop iteration. */
  boolean isScheduled() {
    return scheduled;
  }

  /**
   * Returns whether the policy still permits an attempt whose connection has just been established;
   * events since the attempt was requested may have made it obsolete.
   */
  boolean mayStartAttempt(long requestId, int attempt) {
    return policy.mayStartAttempt(scheduler.now(), requestId, attempt);
  }

  /** Passes the batch to the policy now, unless it is empty. */
  void flush() {
    scheduled = false;
    if (batch.isEmpty()) return;
    stalls.check();
    List<GatewayEvent> events = batch;
    batch = new ArrayList<>();
    long startTicks = scheduler.now();
    try {
      policy.handle(startTicks, events);
    } catch (RuntimeException e) {
      // A fault of the policy fails the requests of this batch instead of ending the process.
      LOG.error("policy_failed events={}", events.size(), e);
      metrics.add(Metric.EXCEPTIONS);
      listener.batchFailed(events);
    }
    listener.batchFinished();
    scheduler.updateWakeUp();
    double eventTicks = (double) (scheduler.now() - startTicks) / events.size();
    meanEventTicks += MEAN_STEP * (eventTicks - meanEventTicks);
  }
}
