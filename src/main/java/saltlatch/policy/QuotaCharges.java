package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewaySettings;
import saltlatch.api.Ticks;

/**
 * What a customer's window is charged at the counter: a request's reservation, its settlement by
 * actual units, and refunds. Units that no call has carried yet ride on the window's next call.
 * Owns the {@link PendingCounterCall}s; times are in ticks.
 *
 * <p>A call that timed out or broke off may have counted: it is taken as counted, so that its units
 * aren't charged twice, and aren't taken for another node's when a total shows them. One that the
 * counter turned down added nothing: its units are carried by the next call.
 */
final class QuotaCharges {
  /** The longest time for which a counter keeps a count. */
  private static final long MAX_COUNTER_TTL_TICKS = 60 * Ticks.PER_SECOND;
  /** Part of the shortest latency objective that a reply is waited for. */
  private static final double REPLY_TIMEOUT_OBJECTIVE_FRACTION = 0.05;

  private final boolean actualUnitsReported;
  private final QuotaManager quotas;
  private final CounterHealth health;
  private final long replyTimeoutTicks;
  private final long longestClientTimeoutTicks;
  private final List<PendingCounterCall> wanted = new ArrayList<>();

  QuotaCharges(GatewaySettings settings, ObjectiveBounds bounds, QuotaManager quotas,
      CounterHealth health) {
    actualUnitsReported = settings.counter().reportsActualUnits();
    this.quotas = quotas;
    this.health = health;
    replyTimeoutTicks = (long) (REPLY_TIMEOUT_OBJECTIVE_FRACTION * bounds.shortestObjectiveTicks());
    longestClientTimeoutTicks = bounds.longestClientTimeoutTicks();
  }

  /** Units to reserve: the client's where they are binding, else the learned reservation. */
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

  /** Wants the counter call that decides a request; 0 units: it only reads the total. */
  void charge(RequestState request, double units, long now) {
    request.chargedUnits = units;
    request.awaitingCounter = true;
    wantCall(request.window, request, units, now);
  }

  /** A request was admitted without a call of its own. */
  void deferCharge(RequestState request) {
    request.window.charge(request.reservedUnits);
  }

  /** A request was charged and admitted, and none of its attempts has started. */
  void refund(RequestState request) {
    request.window.refund(request.reservedUnits);
    quotas.recordAdmitted(request.window, -request.reservedUnits);
  }

  /** Corrects the charge by an answer's actual units, on the window that was charged. */
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
      wantCall(request.window, null, 0, now);
    }
  }

  /** Takes the call that a reply belongs to, the oldest of its window; null if there is none. */
  PendingCounterCall takeCall(long counterName) {
    QuotaWindow window = quotas.findWindow(counterName);
    return window == null ? null : window.calls.poll();
  }

  /** A call has ended, and its request, if it had one, is decided. */
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
      wantCall(window, null, 0, now);
    }
  }

  /**
   * Carries what no call has carried yet, as long as the counter keeps the window's count. Called
   * at each housekeeping; true once the window has no use any more.
   */
  boolean flushOrExpire(QuotaWindow window, long now) {
    long keptUntil = window.endsAtTicks + longestClientTimeoutTicks;
    if (window.unsentUnits != 0 && now < keptUntil && health.isHealthy()) {
      wantCall(window, null, 0, now);
    }
    return now > keptUntil && window.calls.isEmpty();
  }

  private void wantCall(QuotaWindow window, RequestState request, double units, long now) {
    PendingCounterCall call = new PendingCounterCall(window, request, units + window.unsentUnits,
        now);
    window.unsentUnits = 0;
    window.calls.add(call);
    wanted.add(call);
  }

  /**
   * Emits the calls that are wanted. Guards against a busy counter whose replies all come a little
   * late and are thrown away: they are waited for, as far as latency objectives leave time. Harms
   * while the counter is silent: the backoff's calls hold up their requests.
   */
  void emit(GatewayActions actions, long now) {
    for (PendingCounterCall call : wanted) {
      QuotaWindow window = call.window();
      long ttlTicks = Math.min(MAX_COUNTER_TTL_TICKS,
          Math.max(1, window.endsAtTicks - now + longestClientTimeoutTicks));
      actions.addToCounter(window.counterName, call.units(), ttlTicks, replyTimeoutTicks);
    }
    wanted.clear();
  }
}
