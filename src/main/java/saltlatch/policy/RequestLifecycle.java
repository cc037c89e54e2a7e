package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;

/**
 * The way of a request: arrival, admission, attempts one at a time, final answer. Its methods are
 * the event handlers for requests; they change only what is wanted of a request and mark it, and
 * {@link ActionEmitter} does the rest. A timer ends every request shortly before its client's
 * timeout, also while its counter call is in flight. Times are in ticks.
 */
final class RequestLifecycle {
  /** Clock steps before the client's timeout at which the final answer goes out. */
  private static final long DEADLINE_MARGIN_STEPS = 2;

  private final RequestTable requests;
  private final QuotaManager quotas;
  private final AdmissionControl admission;
  private final AttemptTracker attempts;
  private final RetryPolicy retryPolicy;
  private final WeightedRoundRobinLoadBalancer balancer;
  private final RequestCompletion completion;
  private final QuotaCharges charges;
  private final ClientRetryDetection clientRetries;
  private final long deadlineMarginTicks;
  private final List<RequestClassStats> statsByClass = new ArrayList<>();

  RequestLifecycle(GatewaySettings settings, RequestTable requests, QuotaManager quotas,
      AdmissionControl admission, AttemptTracker attempts, RetryPolicy retryPolicy,
      WeightedRoundRobinLoadBalancer balancer, RequestCompletion completion, QuotaCharges charges,
      ClientRetryDetection clientRetries) {
    this.requests = requests;
    this.quotas = quotas;
    this.admission = admission;
    this.attempts = attempts;
    this.retryPolicy = retryPolicy;
    this.balancer = balancer;
    this.completion = completion;
    this.charges = charges;
    this.clientRetries = clientRetries;
    deadlineMarginTicks = DEADLINE_MARGIN_STEPS * settings.clockResolutionTicks();
    for (GatewaySettings.RequestClass requestClass : settings.requestClasses()) {
      statsByClass.add(new RequestClassStats(requestClass));
    }
  }

  void arrived(GatewayEvent.RequestArrived arrival, long now) {
    RequestClassStats stats = statsByClass.get(arrival.requestClass());
    RequestState request = new RequestState(arrival, stats, quotas.customerFor(arrival));
    requests.add(request);
    requests.markChanged(request);
    request.deadlineTicks = now + arrival.clientTimeoutTicks() - arrival.ageTicks()
        - deadlineMarginTicks;
    request.lateRetry = clientRetries.isLateRetry(arrival, stats);
    admission.decideOrCallCounter(request, now);
  }

  /** Ignores an event of an attempt that is not the one in flight. */
  void attemptEnded(GatewayEvent.AttemptEnded event, long now) {
    RequestState request = requests.find(event.requestId());
    if (!isInFlight(request, event.attempt())) {
      return;
    }
    requests.markChanged(request);
    attempts.end(request, event.outcome(), now);
    request.finished |= event.requestFinished();
    if (event.outcome() == AttemptOutcome.SUCCEEDED) {
      charges.settle(request, event.actualUnits(), now);
    }
    if (!request.finished && request.pendingOutcome == RequestOutcome.NONE) {
      retryOrReject(request, event.outcome(), now);
    }
  }

  private static boolean isInFlight(RequestState request, int attempt) {
    return request != null && request.attempt != null && attempt == request.attemptCount - 1;
  }

  /** Nothing is in flight and no answer has come: another attempt, or the end. */
  private void retryOrReject(RequestState request, AttemptOutcome outcome, long now) {
    request.nextServer = retryPolicy.mayRetry(request, outcome, now) ? balancer.choose(request, now)
        : null;
    if (request.nextServer == null) {
      completion.rejectWithoutCapacity(request);
    }
  }

  /** Attempts wanted in this instant at servers that take none any more go elsewhere. */
  void endpointsUpdated(long now) {
    for (RequestState request : requests.changed()) {
      if (request.nextServer != null && !request.nextServer.ready) {
        retryOrReject(request, AttemptOutcome.CONNECT_FAILED, now);
      }
    }
  }

  /** The answer streams: the client's timeout no longer runs. */
  void responseStarted(long requestId) {
    RequestState request = requests.find(requestId);
    if (request != null) {
      request.streaming = true;
    }
  }

  /** Nobody waits for an answer any more. */
  void clientDisconnected(long requestId) {
    RequestState request = requests.find(requestId);
    if (request != null) {
      requests.markChanged(request);
      request.finished = true;
    }
  }

  void deadlineReached(long requestId) {
    RequestState request = requests.find(requestId);
    if (request == null || request.finished || request.streaming) {
      return;
    }
    requests.markChanged(request);
    if (request.attemptCount == 0) {
      completion.rejectLate(request);
    } else {
      completion.fail(request);
    }
  }

  /**
   * Whether an attempt may still begin, its connection having come up only now. Guards against one
   * that begins when what allowed it is past: the client gone, the server draining or replaced, the
   * idempotency key about to be forgotten.
   */
  boolean mayStartAttempt(long requestId, int attemptNumber, long now) {
    RequestState request = requests.find(requestId);
    if (!isInFlight(request, attemptNumber) || request.finished || now >= request.deadlineTicks) {
      return false;
    }
    ServerState server = request.attempt.server;
    return server.ready && server.startedAtTicks == request.attempt.serverStartedAtTicks
        && retryPolicy.isAttemptSafe(request, now);
  }
}
