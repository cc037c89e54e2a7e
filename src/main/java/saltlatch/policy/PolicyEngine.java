package saltlatch.policy;

import java.util.List;
import java.util.SplittableRandom;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayEvent.EndpointUpdateKind;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;
import saltlatch.membership.QuotaShares;

/**
 * Makes all decisions of one gateway node. Creates the rules, dispatches each event to the rule
 * that handles it, runs housekeeping every {@link HousekeepingSchedule#PERIOD_TICKS} and calls
 * {@link ActionEmitter} after each batch of events. It contains no rule itself. Times are in ticks.
 *
 * <p>A host creates one engine from its settings, calls {@link #handle} with the events of one
 * instant, always on the same thread, and executes the actions that it receives through
 * {@link GatewayActions}. The same settings and events yield the same actions: the seed in the
 * settings is the only source of randomness.
 */
public final class PolicyEngine implements GatewayPolicy {
  private final GatewaySettings settings;
  private final GatewayActions actions;
  private final RequestTable requests = new RequestTable();
  private final CompletionRate completions = new CompletionRate();
  private final OutlierDetection outliers = new OutlierDetection();
  private final FleetSize fleet;
  private final QuotaGossip gossip;
  private final QuotaManager quotas;
  private final CounterHealth counterHealth;
  private final QuotaCharges charges;
  private final SlowStart slowStart;
  private final ServerList servers;
  private final AttemptTracker attempts;
  private final AdmissionControl admission;
  private final RequestLifecycle lifecycle;
  private final EndpointWatch watch;
  private final HousekeepingSchedule housekeeping;
  private final TimerStallDetection stalls;
  private final ActionEmitter emitter;
  /** Null while membership is disabled. */
  private QuotaShares shares;
  private long now;

  /**
   * Creates an engine without requests or app servers; the first batch of events must contain the
   * endpoint list.
   *
   * @param now the current time, in ticks
   */
  public PolicyEngine(long now, GatewaySettings settings, GatewayActions actions) {
    this.now = now;
    this.settings = settings;
    this.actions = actions;
    SplittableRandom random = new SplittableRandom(settings.seed());
    GatewaySettings.Limits limits = settings.limits();
    ObjectiveBounds bounds = ObjectiveBounds.of(settings);
    fleet = new FleetSize(settings.nodeCount());
    gossip = new QuotaGossip(settings.peers().ownIndex(), settings.nodeCount(),
        settings.peers().datagramsPerSecond(), settings.peers().datagramPrice());
    quotas = new QuotaManager(now, settings, gossip, random);
    counterHealth = new CounterHealth(settings, fleet);
    charges = new QuotaCharges(settings, bounds, quotas, counterHealth);
    slowStart = new SlowStart(limits, random);
    servers = new ServerList(slowStart, outliers, random);
    LoadShedding shedding = new LoadShedding(fleet, servers, completions);
    attempts = new AttemptTracker(servers, outliers, slowStart, shedding, completions);
    WeightedRoundRobinLoadBalancer balancer = new WeightedRoundRobinLoadBalancer(servers, slowStart,
        outliers);
    RequestCompletion completion = new RequestCompletion(charges,
        new RetryAfterAdvice(limits, counterHealth, gossip, random));
    admission = new AdmissionControl(quotas, gossip, counterHealth, charges, shedding, balancer,
        completion);
    lifecycle = new RequestLifecycle(settings, requests, quotas, admission, attempts,
        new RetryPolicy(limits), balancer, completion, charges,
        new ClientRetryDetection(settings, bounds));
    watch = new EndpointWatch(limits, random);
    housekeeping = new HousekeepingSchedule(now);
    stalls = new TimerStallDetection(bounds, housekeeping);
    emitter = new ActionEmitter(actions, limits, requests, attempts, charges, watch, housekeeping);
  }

  @Override
  public long stallThresholdTicks() {
    return stalls.thresholdTicks();
  }

  @Override
  public long gossipValidityTicks() {
    return gossip.validityTicks();
  }

  @Override
  public void handle(long nowTicks, List<GatewayEvent> events) {
    long stallTicks = stalls.stallTicks(now, nowTicks);
    now = nowTicks;
    if (stallTicks > 0) {
      handleStall(stallTicks);
    }
    quotas.advanceTo(now);
    for (GatewayEvent event : events) {
      handle(event);
    }
    emitter.emit(now);
  }

  @Override
  public boolean mayStartAttempt(long nowTicks, long requestId, int attempt) {
    now = Math.max(now, nowTicks);
    return lifecycle.mayStartAttempt(requestId, attempt, now);
  }

  private void handle(GatewayEvent event) {
    if (event instanceof GatewayEvent.RequestArrived arrival) {
      lifecycle.arrived(arrival, now);
    } else if (event instanceof GatewayEvent.AttemptEnded ended) {
      lifecycle.attemptEnded(ended, now);
    } else if (event instanceof GatewayEvent.CounterReplied reply) {
      counterReplied(reply);
    } else if (event instanceof GatewayEvent.TimerFired timer) {
      timerFired(timer);
    } else if (event instanceof GatewayEvent.EndpointsUpdated update) {
      endpointsUpdated(update);
    } else if (event instanceof GatewayEvent.GossipReceived message) {
      quotas.applyGossip(message);
    } else if (event instanceof GatewayEvent.ResponseStarted started) {
      lifecycle.responseStarted(started.requestId());
    } else if (event instanceof GatewayEvent.ClientDisconnected disconnect) {
      lifecycle.clientDisconnected(disconnect.requestId());
    } else if (event instanceof GatewayEvent.MembershipChanged change) {
      membershipChanged(change);
    }
  }

  /** Removes a stall of this node from all measurements, see {@link TimerStallDetection}. */
  private void handleStall(long stallTicks) {
    servers.forEach(server -> outliers.recordStall(server, now));
    requests.forEach(request -> attempts.excludeStall(request, stallTicks));
    actions.log("was away for " + stallTicks / Ticks.PER_MILLISECOND + " ms");
  }

  private void counterReplied(GatewayEvent.CounterReplied reply) {
    PendingCounterCall call = charges.takeCall(reply.counterName());
    if (call == null) {
      return;
    }
    RequestState request = call.request();
    boolean answered = reply.outcome() == AttemptOutcome.SUCCEEDED;
    if (!stalls.spansStall(call.sentAtTicks()) && counterHealth.recordReply(answered, now)) {
      gossip.recordCounterUnhealthy(now);
    }
    if (answered) {
      quotas.applyCounterTotal(call.window(), call.units(), reply.total());
    }
    if (request != null) {
      requests.markChanged(request);
      decide(request, answered);
    }
    charges.recordReply(call, reply.outcome(), now);
  }

  private void decide(RequestState request, boolean answered) {
    if (answered) {
      admission.decideWithCounterTotal(request, now);
    } else {
      admission.decideWithoutCounterTotal(request, now);
    }
  }

  private void timerFired(GatewayEvent.TimerFired timer) {
    if (timer.timerId() < 0) {
      runHousekeeping();
    } else {
      lifecycle.deadlineReached(timer.timerId());
    }
  }

  private void endpointsUpdated(GatewayEvent.EndpointsUpdated update) {
    if (update.kind() == EndpointUpdateKind.FAILED) {
      watch.recordFailure(now);
      return;
    }
    servers.update(update, now);
    lifecycle.endpointsUpdated(now);
  }

  private void membershipChanged(GatewayEvent.MembershipChanged change) {
    if (shares == null) {
      shares = new QuotaShares(settings.peers().ownIndex(), settings.nodeCount());
      quotas.setQuotaShares(shares);
      gossip.setQuotaShares(shares);
      fleet.setQuotaShares(shares);
    }
    shares.update(change);
  }

  private void runHousekeeping() {
    housekeeping.restart(now);
    completions.decay();
    slowStart.decay();
    servers.recount(now);
    outliers.adjustMemory(servers.effectiveServers(), completions);
    requests.forEach(request -> attempts.abandonIfStuck(request, now));
    if (counterHealth.isBackingOff()) {
      gossip.recordCounterUnhealthy(now);
    }
    gossip.dueMessages(now).forEach(actions::sendGossip);
    quotas.releaseWindowsIf(window -> charges.flushOrExpire(window, now));
    quotas.releaseIdleCustomers();
  }
}
