package saltlatch.policy;

import saltlatch.api.GatewayActions;
import saltlatch.api.GatewaySettings;

/**
 * Compares the wanted state with the current one and emits the actions that are missing: for each
 * changed request its final answer, next attempt, cancellation and timer; for the node its endpoint
 * watch, housekeeping timer and counter calls. No other class starts attempts or answers requests.
 * Times are in ticks.
 */
final class ActionEmitter {
  private final GatewayActions actions;
  private final boolean mayCancelAttempts;
  private final RequestTable requests;
  private final AttemptTracker attempts;
  private final QuotaCharges charges;
  private final EndpointWatch watch;
  private final HousekeepingSchedule housekeeping;

  ActionEmitter(GatewayActions actions, GatewaySettings.Limits limits, RequestTable requests,
      AttemptTracker attempts, QuotaCharges charges, EndpointWatch watch,
      HousekeepingSchedule housekeeping) {
    this.actions = actions;
    mayCancelAttempts = limits.mayCancelAttempts();
    this.requests = requests;
    this.attempts = attempts;
    this.charges = charges;
    this.watch = watch;
    this.housekeeping = housekeeping;
  }

  /** Called at the end of each batch of events. */
  void emit(long now) {
    if (watch.isDue(now)) {
      watch.recordOpened();
      actions.watchEndpoints(true);
    }
    if (housekeeping.needsTimer()) {
      actions.setTimer(housekeeping.dueAtTicks(), HousekeepingSchedule.TIMER_ID);
      housekeeping.recordTimer();
    }
    for (RequestState request : requests.changed()) {
      emit(request, now);
    }
    requests.changed().clear();
    charges.emit(actions, now);
  }

  private void emit(RequestState request, long now) {
    request.changed = false;
    emitFinalAnswer(request);
    if (!request.finished && request.nextServer != null) {
      emitAttempt(request, now);
    }
    request.nextServer = null;
    emitCancellation(request);
    if (!request.finished && !request.deadlineTimerSet) {
      actions.setTimer(request.deadlineTicks, request.arrival.requestId());
    }
    request.deadlineTimerSet = true;
    if (request.finished && request.attempt == null && !request.awaitingCounter) {
      requests.release(request);
    }
  }

  private void emitFinalAnswer(RequestState request) {
    if (request.finished || request.pendingOutcome == RequestOutcome.NONE) {
      return;
    }
    if (request.pendingOutcome == RequestOutcome.REJECTED) {
      actions.reject(request.arrival.requestId(), request.retryAfterTicks);
    } else {
      actions.fail(request.arrival.requestId());
    }
    request.finished = true;
  }

  private void emitAttempt(RequestState request, long now) {
    Attempt attempt = attempts.start(request, now);
    actions.startAttempt(request.arrival.requestId(), attempt.server.id,
        request.deadlineTicks - now);
  }

  private void emitCancellation(RequestState request) {
    Attempt attempt = request.attempt;
    if (attempt == null || !request.finished || request.streaming || attempt.cancelled
        || !mayCancelAttempts) {
      return;
    }
    attempt.cancelled = true;
    actions.cancelAttempt(request.arrival.requestId(), request.attemptCount - 1);
  }
}
