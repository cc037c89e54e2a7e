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
 * Does what the policy wants, on this node's partners. An action for a request that is over has no
 * effect. Called by the policy while it handles a batch, on the event loop.
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
  private OutboundClients partners;

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

  /** Sets the partners, before the policy is created. */
  void start(OutboundClients with) {
    partners = with;
  }

  @Override
  public void startAttempt(long requestId, long serverId, long timeoutTicks) {
    RequestContext request = requests.find(requestId);
    if (request == null) return;
    int server = (int) serverId;
    int attempt = requests.startAttempt(request);
    history.attemptStarted(request, partners.directory().serverName(server), attempt, timeoutTicks);
    try {
      partners.appServers().startAttempt(request, attempt, server, timeoutTicks);
    } catch (RuntimeException e) {
      // Guards against a fault of this side that stops the policy half-way through what it wants of
      // other requests. It shows as an attempt that was never sent.
      LOG.error("attempt_start_failed server={}", partners.directory().serverName(server), e);
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
    if (request != null) partners.appServers().cancelAttempt(request, attempt);
  }

  @Override
  public void setTimer(long dueTicks, long timerId) {
    scheduler.scheduleAt(dueTicks, () -> events.add(new GatewayEvent.TimerFired(timerId)));
  }

  @Override
  public void checkHealth(long serverId) {
    partners.appServers().checkHealth((int) serverId, healthCheckTimeoutTicks);
  }

  @Override
  public void closeIdleConnections(long serverId) {
    partners.appServers().closeIdleConnections((int) serverId);
  }

  @Override
  public void addToCounter(long counterName, double units, long ttlTicks, long timeoutTicks) {
    if (partners.counter() == null) {
      events.add(
          new GatewayEvent.CounterReplied(counterName, GatewayEvent.AttemptOutcome.NOT_SENT, 0, 0));
    } else {
      partners.counter().add(counterName, units, ttlTicks, timeoutTicks);
    }
  }

  @Override
  public void watchEndpoints(boolean on) {
    if (on) partners.discovery().openWatch();
    else partners.discovery().closeWatch();
  }

  @Override
  public void sendGossip(int peer, GossipMessage message) {
    if (partners.peers() != null) partners.peers().send(peer, GossipCodec.encode(message));
  }

  @Override
  public void log(String text) {
    LOG.info(text);
    history.policyLogged(text);
  }
}
