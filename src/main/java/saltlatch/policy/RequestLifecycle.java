package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;

/**
 * Handles the events of requests from arrival through admission and attempts, one at a time, to the
 * final answer. The handlers only set a request's pending actions and mark the request as changed;
 * {@link ActionEmitter} emits the actions. A timer ends every request shortly before its client's
 * timeout, even while its counter call is in flight. Times are in ticks.
 */
final class RequestLifecycle {
  /** Time before the client's timeout at which the final answer is sent, in clock resolutions. */
  private static final long DEADLINE_MARGIN_RESOLUTIONS = 2;

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
    deadlineMarginTicks = DEADLINE_MARGIN_RESOLUTIONS * settings.clockResolutionTicks();
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

  /** Handles the end of an attempt; ignores it unless the attempt is the one in flight. */
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

  /**
   * Chooses a server for another attempt or, if none is possible, rejects the request. Called when
   * nothing is in flight and no answer has arrived.
   */
  private void retryOrReject(RequestState request, AttemptOutcome outcome, long now) {
    request.nextServer = retryPolicy.mayRetry(request, outcome, now) ? balancer.choose(request, now)
        : null;
    if (request.nextServer == null) {
      completion.rejectWithoutCapacity(request);
    }
  }

  /**
   * Chooses other servers for attempts that are pending in this batch of events and whose server no
   * longer accepts requests.
   */
  void endpointsUpdated(long now) {
    for (RequestState request : requests.changed()) {
      if (request.nextServer != null && !request.nextServer.ready) {
        retryOrReject(request, AttemptOutcome.CONNECT_FAILED, now);
      }
    }
  }

  /** Handles the start of a streamed response, after which the client's timeout does not apply. */
  void responseStarted(long requestId) {
    RequestState request = requests.find(requestId);
    if (request != null) {
      request.streaming = true;
    }
  }

  /** Finishes a request whose client has disconnected. */
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
   * Returns whether an attempt may still start after its connection has been established. Guards
   * against starting an attempt whose conditions have changed meanwhile: the client has
   * disconnected, the server is draining or was restarted, or the idempotency key is about to
   * expire.
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
