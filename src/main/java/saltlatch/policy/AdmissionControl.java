package saltlatch.policy;

/**
 * Whether a request is admitted: the one place that asks all other rules, in this order.
 * <ol>
 * <li>Its client's timeout is over: rejected.
 * <li>The quota. While the counter is healthy, by the total of the request's own counter call: the
 * window's count without this request must be below the burst; a customer whose window is spent is
 * admitted by the room that {@link QuotaManager} follows. While it isn't, by what peers say or this
 * node's share, but for one call each backoff ({@link CounterHealth}).
 * A client's late retry ({@link ClientRetryDetection}) is rejected while the window is exhausted or
 * the counter unhealthy.
 * <li>The plan's cap on concurrent requests, by this node's share of it.
 * <li>The plan's hard ceiling, by this node's part.
 * <li>{@link LoadShedding}.
 * <li>An app server ({@link WeightedRoundRobinLoadBalancer}).
 * </ol>
 * Units are quota units, times are in ticks. Guards against use beyond a quota, and against
 * requests that are held up and then rejected all the same.
 */
final class AdmissionControl {
  private final QuotaManager quotas;
  private final QuotaGossip gossip;
  private final CounterHealth health;
  private final QuotaCharges charges;
  private final LoadShedding shedding;
  private final WeightedRoundRobinLoadBalancer balancer;
  private final RequestCompletion completion;

  AdmissionControl(QuotaManager quotas, QuotaGossip gossip, CounterHealth health,
      QuotaCharges charges, LoadShedding shedding, WeightedRoundRobinLoadBalancer balancer,
      RequestCompletion completion) {
    this.quotas = quotas;
    this.gossip = gossip;
    this.health = health;
    this.charges = charges;
    this.shedding = shedding;
    this.balancer = balancer;
    this.completion = completion;
  }

  /** A request has arrived: decides it, or wants the counter call that will. */
  void decideOrCallCounter(RequestState request, long now) {
    if (request.deadlineTicks <= now) {
      completion.rejectLate(request);
    } else if (request.customer.plan.ratePerSecond() <= 0) {
      decide(request, true, now);
    } else {
      checkQuota(request, now);
    }
  }

  private void checkQuota(RequestState request, long now) {
    CustomerQuota customer = request.customer;
    request.reservedUnits = charges.unitsToReserve(request);
    request.window = quotas.currentWindow(customer, health.lastCallAnswered());
    quotas.refill(customer);
    // What peers say is known without a call: calls are for requests that it leaves room for.
    boolean byGossip = !health.isHealthy() && gossip.isUsageFresh(now, customer.nodeCount);
    boolean full = byGossip
        ? request.lateRetry || !quotas.hasLocalCapacity(customer, request.reservedUnits)
        : isKnownFull(request);
    boolean mayCall = health.isHealthy()
        || (health.mayCall(now) && !request.lateRetry && !(byGossip && full));
    if (mayCall) {
      health.recordCall(now);
      charges.charge(request, full ? 0 : request.reservedUnits, now);
      return;
    }
    boolean hasRoom = !full
        && (byGossip || quotas.hasLocalCapacity(customer, request.reservedUnits));
    decide(request, hasRoom, now);
    if (request.admitted) {
      charges.deferCharge(request);
    }
  }

  /**
   * Whether the request is sure to find no room, so that its call only reads. Guards against adds
   * that are sure to be given back: they would make the customer look fuller to the other nodes
   * than it is.
   */
  private boolean isKnownFull(RequestState request) {
    CustomerQuota customer = request.customer;
    boolean withoutRoom = customer.exhausted && !customer.isOnFallbackShare()
        && customer.availableUnits < request.reservedUnits;
    return withoutRoom || (request.lateRetry && (customer.exhausted || !health.isHealthy()));
  }

  /** The counter has answered the request's call, and the total is taken into its window. */
  void decideWithCounterTotal(RequestState request, long now) {
    QuotaWindow window = request.window;
    CustomerQuota customer = request.customer;
    boolean belowBurst = window.totalChargedUnits - request.chargedUnits < customer.plan
        .burstUnits();
    customer.exhausted |= !belowBurst || customer.availableUnits <= 0;
    // Guards against windows that differ from the quota's own refill: a heavy customer would spend
    // each window at its start, be rejected with room left, and find a whole burst at the turn.
    boolean hasRoom = gossip.isUsageFresh(now, customer.nodeCount)
        ? quotas.hasLocalCapacity(customer, request.reservedUnits)
        : customer.availableUnits >= request.reservedUnits;
    decide(request, customer.exhausted ? !request.lateRetry && hasRoom : belowBurst, now);
  }

  /** The request's call has ended without an answer. */
  void decideWithoutCounterTotal(RequestState request, long now) {
    boolean hasRoom = quotas.hasLocalCapacity(request.customer, request.reservedUnits);
    decide(request, hasRoom, now);
  }

  private void decide(RequestState request, boolean hasQuota, long now) {
    if (request.finished || request.pendingOutcome != RequestOutcome.NONE) {
      return;
    }
    if (request.deadlineTicks <= now) {
      // A counter's reply that was read long after it came: nobody waits for this request any more.
      completion.rejectLate(request);
    } else if (!hasQuota) {
      completion.rejectWithoutQuota(request, now);
    } else if (!hasCapacity(request, now)) {
      completion.rejectWithoutCapacity(request);
    } else {
      admit(request);
    }
  }

  private boolean hasCapacity(RequestState request, long now) {
    CustomerQuota customer = request.customer;
    if (!hasConcurrency(customer)
        || !quotas.ceilingAllows(customer, request.arrival.estimatedUnits())
        || shedding.isOverloaded(request, now)) {
      return false;
    }
    request.nextServer = balancer.choose(request, now);
    return request.nextServer != null;
  }

  /** This node's share of the plan's cap, by the share of the customer's use that it sees. */
  private static boolean hasConcurrency(CustomerQuota customer) {
    int cap = customer.plan.maxConcurrent();
    return cap <= 0 || customer.inFlight < Math.max(1, Math.ceil(cap * customer.learnedShare));
  }

  private void admit(RequestState request) {
    CustomerQuota customer = request.customer;
    request.admitted = true;
    if (request.window != null) {
      quotas.recordAdmitted(request.window, request.reservedUnits);
    }
    customer.recordAdmittedOnFallbackShare(request.reservedUnits);
    quotas.chargeCeiling(customer, request.arrival.estimatedUnits());
  }
}
