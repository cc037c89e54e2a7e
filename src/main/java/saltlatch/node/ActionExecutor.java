package saltlatch.node;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GossipMessage;
import saltlatch.state.InFlightRequests;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.appserver.AppServerReply;
import saltlatch.wire.peer.GossipCodec;
import saltlatch.wire.transport.CallResult;
import saltlatch.wire.transport.Scheduler;

/**
 * Executes the policy's actions through the outbound clients, the timers and the final
 * responses. An action for a request that is no longer in flight has no effect. The policy calls
 * these methods on the event loop while it handles a batch.
 */
final class ActionExecutor implements GatewayActions {
  private static final Logger LOG = LoggerFactory.getLogger(ActionExecutor.class);

  private final long healthCheckTimeoutTicks;
  private final Scheduler scheduler;
  private final InFlightRequests requests;
  private final FinalResponses responses;
  private final EventBatcher events;
  private final AttemptListener attempts;
  private final NodeMetrics metrics;
  private final NodeHistory history;
  private OutboundClients outboundClients;

  ActionExecutor(long healthCheckTimeoutTicks, Scheduler scheduler, InFlightRequests requests,
      FinalResponses responses, EventBatcher events, AttemptListener attempts, NodeMetrics metrics,
      NodeHistory history) {
    this.healthCheckTimeoutTicks = healthCheckTimeoutTicks;
    this.scheduler = scheduler;
    this.requests = requests;
    this.responses = responses;
    this.events = events;
    this.attempts = attempts;
    this.metrics = metrics;
    this.history = history;
  }

  /** Sets the outbound clients; called before the policy is created. */
  void start(OutboundClients clients) {
    outboundClients = clients;
  }

  @Override
  public void startAttempt(long requestId, long serverId, long timeoutTicks) {
    RequestContext request = requests.find(requestId);
    if (request == null) return;
    int server = (int) serverId;
    int attempt = requests.startAttempt(request);
    history.attemptStarted(request, outboundClients.directory().serverName(server), attempt,
        timeoutTicks);
    try {
      outboundClients.appServers().startAttempt(request, attempt, server, timeoutTicks);
    } catch (RuntimeException e) {
      // An exception that reached the policy would stop it before its actions for other requests.
      // The policy receives the end of an attempt that was never sent instead.
      LOG.error("attempt_start_failed server={}", outboundClients.directory().serverName(server),
          e);
      metrics.add(Metric.EXCEPTIONS);
      attempts.attemptEnded(request, attempt, server,
          AppServerReply.withoutValue(CallResult.NO_CONNECTION_FREE), 0);
    }
  }

  @Override
  public void reject(long requestId, long retryAfterTicks) {
    RequestContext request = requests.find(requestId);
    if (request == null) return;
    responses.reject(request, retryAfterTicks);
    requests.releaseIfComplete(request);
  }

  @Override
  public void fail(long requestId) {
    RequestContext request = requests.find(requestId);
    if (request == null) return;
    responses.fail(request);
    requests.releaseIfComplete(request);
  }

  @Override
  public void cancelAttempt(long requestId, int attempt) {
    RequestContext request = requests.find(requestId);
    if (request != null) outboundClients.appServers().cancelAttempt(request, attempt);
  }

  @Override
  public void setTimer(long dueTicks, long timerId) {
    scheduler.scheduleAt(dueTicks, () -> events.add(new GatewayEvent.TimerFired(timerId)));
  }

  @Override
  public void checkHealth(long serverId) {
    outboundClients.appServers().checkHealth((int) serverId, healthCheckTimeoutTicks);
  }

  @Override
  public void closeIdleConnections(long serverId) {
    outboundClients.appServers().closeIdleConnections((int) serverId);
  }

  @Override
  public void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks) {
    if (outboundClients.counter() == null) {
      events.add(
          new GatewayEvent.CounterReplied(counterName, GatewayEvent.AttemptOutcome.NOT_SENT, 0, 0));
    } else {
      outboundClients.counter().add(counterName, units, ttlTicks, timeoutTicks);
    }
  }

  @Override
  public void watchEndpoints(boolean on) {
    if (on) outboundClients.discovery().openWatch();
    else outboundClients.discovery().closeWatch();
  }

  @Override
  public void sendGossip(int peer, GossipMessage message) {
    if (outboundClients.peers() != null)
      outboundClients.peers().send(peer, GossipCodec.encode(message));
  }

  @Override
  public void log(String text) {
    LOG.info(text);
    history.policyLogged(text);
  }
}
