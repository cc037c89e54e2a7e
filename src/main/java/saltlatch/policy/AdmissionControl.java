package saltlatch.policy;

/**
 * Decides whether a request is admitted. This class is the only one that combines the rules of
 * admission; it checks them in this order:
 * <ol>
 * <li>The client's timeout: a request whose timeout has passed is rejected.
 * <li>The customer must be recorded: while {@link CustomerTable} has no room for another customer,
 * the requests of new ones are rejected.
 * <li>The quota. While the counter is healthy, the total that the request's own counter call
 * returns decides: without this request, the window's count must be below the burst. If the
 * customer's window is exhausted, the available units that {@link QuotaManager} maintains decide
 * instead. While the counter is unhealthy, peers' reports or this node's share decide, except for
 * one request per backoff period, which calls the counter ({@link CounterHealth}). A client's late
 * retry ({@link ClientRetryDetection}) is rejected while the window is exhausted or the counter is
 * unhealthy.
 * <li>The plan's limit on concurrent requests, of which this node has a share.
 * <li>The plan's hard ceiling, of which this node has a part.
 * <li>{@link LoadShedding}.
 * <li>An app server must be available ({@link WeightedRoundRobinLoadBalancer}).
 * </ol>
 * Units are quota units, times are in ticks. Guards against usage beyond a quota, and against
 * requests that wait only to be rejected.
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

  /** Decides a request that has arrived, or requests the counter call whose reply decides it. */
  void decideOrCallCounter(RequestState request, long now) {
    if (request.deadlineTicks <= now) {
      completion.rejectLate(request);
    } else if (!quotas.isRecorded(request.customer)) {
      completion.rejectWithoutCapacity(request);
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
    // Peers' reports need no call: only requests that they leave capacity for may use a call.
    boolean decidedByGossip = !health.isHealthy() && gossip.isUsageFresh(now, customer.nodeCount);
    boolean isFull = decidedByGossip
        ? request.lateRetry || !quotas.hasLocalCapacity(customer, request.reservedUnits)
        : isKnownFull(request);
    boolean mayCall = health.isHealthy()
        || (health.mayCall(now) && !request.lateRetry && !(decidedByGossip && isFull));
    if (mayCall) {
      health.recordCall(now);
      charges.charge(request, isFull ? 0 : request.reservedUnits, now);
      return;
    }
    boolean hasUnits = !isFull
        && (decidedByGossip || quotas.hasLocalCapacity(customer, request.reservedUnits));
    decide(request, hasUnits, now);
    if (request.admitted) {
      charges.deferCharge(request);
    }
  }

  /**
   * Returns whether the quota is certain to have no capacity for the request, so that its counter
   * call only reads the total. Guards against adds that are certain to be refunded: until then, the
   * customer would appear to other nodes to have used more than it has.
   */
  private boolean isKnownFull(RequestState request) {
    CustomerQuota customer = request.customer;
    boolean lacksUnits = customer.exhausted && !customer.isOnFallbackShare()
        && customer.availableUnits < request.reservedUnits;
    return lacksUnits || (request.lateRetry && (customer.exhausted || !health.isHealthy()));
  }

  /**
   * Decides a request after the counter has answered its call and the total was applied to its
   * window.
   */
  void decideWithCounterTotal(RequestState request, long now) {
    QuotaWindow window = request.window;
    CustomerQuota customer = request.customer;
    boolean belowBurst = window.totalChargedUnits - request.chargedUnits < customer.plan
        .burstUnits();
    customer.exhausted |= !belowBurst || customer.availableUnits <= 0;
    // Guards against the window's count and the refill of the quota diverging: a heavy customer
    // would exhaust each window at its start, be rejected although the quota has refilled, and get
    // a full burst when the next window starts.
    boolean hasUnits = gossip.isUsageFresh(now, customer.nodeCount)
        ? quotas.hasLocalCapacity(customer, request.reservedUnits)
        : customer.availableUnits >= request.reservedUnits;
    decide(request, customer.exhausted ? !request.lateRetry && hasUnits : belowBurst, now);
  }

  /** Decides a request whose counter call has ended without an answer. */
  void decideWithoutCounterTotal(RequestState request, long now) {
    boolean hasUnits = quotas.hasLocalCapacity(request.customer, request.reservedUnits);
    decide(request, hasUnits, now);
  }

  private void decide(RequestState request, boolean hasQuota, long now) {
    if (request.finished || request.pendingOutcome != RequestOutcome.NONE) {
      return;
    }
    if (request.deadlineTicks <= now) {
      // The counter's reply was read long after it arrived; the client no longer waits.
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

  /**
   * Returns whether this node's share of the plan's limit on concurrent requests allows another
   * one. The share is the part of the customer's usage that this node receives.
   */
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
