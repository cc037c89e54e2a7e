package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * Charges customers' windows at the counter: the reservation of each request, its correction to the
 * actual units, and refunds. Units that no call has reported yet are added to the window's next
 * call. Owns the {@link PendingCounterCall}s; times are in ticks.
 *
 * <p>A call that timed out or whose connection broke may have been counted. It is assumed to have
 * been counted, so that its units are neither charged twice nor attributed to another node when a
 * total includes them. A call that the counter refused added nothing, so its units are added to the
 * next call.
 */
final class QuotaCharges {
  /** Longest time for which the counter stores a count. */
  private static final long MAX_COUNTER_TTL_TICKS = 60 * Ticks.PER_SECOND;
  /** Timeout of a counter call, as a fraction of the shortest latency objective. */
  private static final double REPLY_TIMEOUT_OBJECTIVE_FRACTION = 0.05;

  private final boolean actualUnitsReported;
  private final QuotaManager quotas;
  private final CounterHealth health;
  private final long replyTimeoutTicks;
  private final long longestClientTimeoutTicks;
  private final List<PendingCounterCall> queuedCalls = new ArrayList<>();

  QuotaCharges(GatewaySettings settings, ObjectiveBounds bounds, QuotaManager quotas,
      CounterHealth health) {
    actualUnitsReported = settings.counter().reportsActualUnits();
    this.quotas = quotas;
    this.health = health;
    replyTimeoutTicks = (long) (REPLY_TIMEOUT_OBJECTIVE_FRACTION * bounds.shortestObjectiveTicks());
    longestClientTimeoutTicks = bounds.longestClientTimeoutTicks();
  }

  /**
   * Returns the units to reserve for a request: the client's estimate if estimates are binding,
   * otherwise the learned reservation.
   */
  double unitsToReserve(RequestState request) {
    return actualUnitsReported ? learnedReservation(request).units()
        : request.arrival.estimatedUnits();
  }

  private static QuantileReservation learnedReservation(RequestState request) {
    QuantileReservation[] byClass = request.customer.reservationsByClass;
    int requestClass = request.arrival.requestClass();
    if (byClass[requestClass] == null) {
      byClass[requestClass] = new QuantileReservation(request.arrival.estimatedUnits(),
          request.customer.plan.burstUnits());
    }
    return byClass[requestClass];
  }

  /** Queues the counter call that decides a request; with 0 units it only reads the total. */
  void charge(RequestState request, double units, long now) {
    request.chargedUnits = units;
    request.awaitingCounter = true;
    queueCall(request.window, request, units, now);
  }

  /** Charges an admitted request that has no counter call with the window's next call. */
  void deferCharge(RequestState request) {
    request.window.charge(request.reservedUnits);
  }

  /** Refunds a request that was charged and admitted, but of which no attempt has started. */
  void refund(RequestState request) {
    request.window.refund(request.reservedUnits);
    quotas.recordAdmitted(request.window, -request.reservedUnits);
  }

  /** Corrects a request's charge to the actual units, in the window that was charged. */
  void settle(RequestState request, double actualUnits, long now) {
    if (actualUnits <= 0 || !actualUnitsReported) {
      return;
    }
    learnedReservation(request).learn(actualUnits);
    if (request.window == null || actualUnits == request.reservedUnits) {
      return;
    }
    quotas.recordAdmitted(request.window, actualUnits - request.reservedUnits);
    request.window.charge(actualUnits - request.reservedUnits);
    if (health.isHealthy()) {
      queueCall(request.window, null, 0, now);
    }
  }

  /**
   * Removes and returns the call that a reply belongs to, which is the oldest call of its window;
   * null if there is none.
   */
  PendingCounterCall takeCall(long counterName) {
    QuotaWindow window = quotas.findWindow(counterName);
    return window == null ? null : window.calls.poll();
  }

  /**
   * Updates the window after a call has ended. Must be called after the call's request, if it has
   * one, was decided.
   */
  void recordReply(PendingCounterCall call, AttemptOutcome outcome, long now) {
    QuotaWindow window = call.window();
    boolean answered = outcome == AttemptOutcome.SUCCEEDED;
    if (outcome.neverExecuted()) {
      window.charge(call.units());
    } else if (!answered) {
      window.recordUnconfirmed(call.units());
    }
    RequestState request = call.request();
    if (request == null) {
      return;
    }
    request.awaitingCounter = false;
    window.charge((request.admitted ? request.reservedUnits : 0) - request.chargedUnits);
    if (answered && window.unsentUnits != 0 && health.isHealthy()) {
      queueCall(window, null, 0, now);
    }
  }

  /**
   * Queues a call for the units that no call has reported yet, as long as the counter stores the
   * window's count. Called at each housekeeping run.
   *
   * @return whether the window can be released
   */
  boolean flushOrExpire(QuotaWindow window, long now) {
    long countExpiresAtTicks = window.endsAtTicks + longestClientTimeoutTicks;
    if (window.unsentUnits != 0 && now < countExpiresAtTicks && health.isHealthy()) {
      queueCall(window, null, 0, now);
    }
    return now > countExpiresAtTicks && window.calls.isEmpty();
  }

  private void queueCall(QuotaWindow window, RequestState request, double units, long now) {
    PendingCounterCall call = new PendingCounterCall(window, request, units + window.unsentUnits,
        now);
    window.unsentUnits = 0;
    window.calls.add(call);
    queuedCalls.add(call);
  }

  /**
   * Emits the queued calls. The reply timeout guards against a busy counter all of whose replies
   * arrive slightly late and are discarded: it is as long as the latency objectives permit. It does
   * harm while the counter is silent: the calls that the backoff lets through delay their requests.
   */
  void emit(GatewayActions actions, long now) {
    for (PendingCounterCall call : queuedCalls) {
      QuotaWindow window = call.window();
      long ttlTicks = Math.min(MAX_COUNTER_TTL_TICKS,
          Math.max(1, window.endsAtTicks - now + longestClientTimeoutTicks));
      actions.addToCounter(window.counterName, call.units(), ttlTicks, replyTimeoutTicks);
    }
    queuedCalls.clear();
  }
}
