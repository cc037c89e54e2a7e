package saltlatch.policy;

import java.util.SplittableRandom;
import java.util.function.Predicate;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.api.Ticks;
import saltlatch.membership.QuotaShares;

/**
 * Manages the quotas of all customers on this node. Owns every {@link CustomerQuota} and {@link
 * QuotaWindow}, and passes counter totals, gossip and this node's admissions to the rules that
 * process them.
 *
 * <p>The part of a quota that this node may use:
 * <ul>
 * <li>while the counter answers: the full quota, less the usage of other nodes that
 * {@link CounterTotals} computes;
 * <li>while only peers report: what {@link CapacityFromGossip} allows within {@link PooledShare};
 * <li>while neither answers: {@link FallbackShare}.
 * </ul>
 * In each case {@link AvailableUnits} refills the remaining units, and {@link HardCeiling} limits
 * the units admitted in total.
 *
 * <p>Does no I/O and reads no clock; {@link PolicyEngine} calls it on its single thread and makes
 * the decisions. Times are in ticks, amounts in units.
 */
final class QuotaManager {
  /** Time without requests after which a customer's state may be released: one minute. */
  private static final long IDLE_TICKS = 60 * Ticks.PER_SECOND;

  private static final int WINDOW_NUMBER_BITS = 31;
  private static final long WINDOW_NUMBER_MASK = (1L << WINDOW_NUMBER_BITS) - 1;

  private final GatewaySettings settings;
  private final QuotaGossip gossip;
  private final CounterTotals counterTotals = new CounterTotals();
  private final FallbackShare fallbackShare;
  private final UnreportedPeerUsage unreportedPeerUsage;
  private final PooledShare pooledShare;
  private final CapacityFromGossip capacityFromGossip;
  private final long startedAtTicks;
  private final CustomerTable customers = new CustomerTable(this::mayRelease, this::released);
  private final SlotMap<QuotaWindow> windows = new SlotMap<>();
  private long now;
  private boolean membershipEnabled;

  QuotaManager(long now, GatewaySettings settings, QuotaGossip gossip, SplittableRandom random) {
    this.now = now;
    this.settings = settings;
    this.gossip = gossip;
    startedAtTicks = now;
    fallbackShare = new FallbackShare(settings.counter().available(), random);
    unreportedPeerUsage = new UnreportedPeerUsage(gossip);
    pooledShare = new PooledShare(gossip, unreportedPeerUsage);
    capacityFromGossip = new CapacityFromGossip(gossip, unreportedPeerUsage);
  }

  /** Sets the current time for the calls that follow. */
  void advanceTo(long time) {
    now = time;
  }

  /** Enables membership: from now on shares depend on the leases. */
  void setQuotaShares(QuotaShares shares) {
    membershipEnabled = true;
    fallbackShare.setQuotaShares(shares);
    unreportedPeerUsage.setQuotaShares(shares);
    pooledShare.setQuotaShares(shares);
  }

  /** Returns the window with this name at the counter; null if it was released. */
  QuotaWindow findWindow(long counterName) {
    return windows.find(counterName);
  }

  /** Calls the predicate once for each window and releases the window if it returns true. */
  void releaseWindowsIf(Predicate<QuotaWindow> isExpired) {
    windows.forEach(window -> {
      if (isExpired.test(window)) {
        windows.release(window.counterName);
      }
    });
  }

  /**
   * Releases customers that have been idle for a minute, except those whose usage of the hard
   * ceiling would be lost with their state.
   */
  void releaseIdleCustomers() {
    customers.forEach(customer -> {
      boolean ceilingMayBeForgotten = HardCeiling.mayRelease(customer, now);
      boolean idle = now - customer.lastRequestAtTicks > IDLE_TICKS && customer.inFlight == 0;
      if (idle && ceilingMayBeForgotten) {
        customers.release(customer);
      }
    });
  }

  /** Returns whether no request, charge or ceiling depends on the customer's state. */
  private boolean mayRelease(CustomerQuota customer) {
    boolean isCharged = customer.window == null
        || (customer.window.calls.isEmpty() && customer.window.unsentUnits == 0);
    return customer.openRequests == 0 && isCharged && HardCeiling.mayRelease(customer, now);
  }

  private void released(CustomerQuota customer) {
    if (customer.window != null) {
      windows.release(customer.window.counterName);
    }
  }

  /** Returns whether the customer's usage is recorded; if not, none may be admitted. */
  boolean isRecorded(CustomerQuota customer) {
    return customers.contains(customer);
  }

  /**
   * Processes a reply of the counter.
   *
   * @param ownUnits   units that this node's call added
   * @param totalUnits the count after that call
   */
  void applyCounterTotal(QuotaWindow window, double ownUnits, double totalUnits) {
    CustomerQuota customer = window.customer;
    endFallbackShare(customer);
    customer.lastCounterTotalAtTicks = now;
    boolean usageFresh = isUsageFresh(customer);
    counterTotals.apply(window, ownUnits, totalUnits, usageFresh);
    PeerUsage.charge(window, usageFresh, now);
  }

  /** Processes a peer's message. */
  void applyGossip(GatewayEvent.GossipReceived event) {
    for (GossipMessage.WindowUsage usage : gossip.receive(now, event.sender(), event.message())) {
      CustomerQuota customer = customers.find(usage.customer());
      if (customer != null && customer.plan.ratePerSecond() > 0
          && PeerUsage.isPlausible(customer, usage.units())) {
        applyReportedUsage(customer, event.sender(), usage);
      }
    }
  }

  private void applyReportedUsage(CustomerQuota customer, int sender,
      GossipMessage.WindowUsage usage) {
    long currentNumber = now / windowLengthTicks(customer.plan);
    long number = QuotaGossip.fullWindowNumber(currentNumber, usage.windowNumber());
    QuotaWindow window = number == currentNumber ? currentWindow(customer, false)
        : windows.find(counterName(customer, number));
    int node = Math.floorMod(sender - customer.firstNode, Math.max(1, settings.nodeCount()));
    if (window == null || node >= customer.nodeCount
        || !PeerUsage.isNew(window, node, usage.units())) {
      return;
    }
    endFallbackShare(customer);
    PeerUsage.recordReported(window, node, usage.units());
    PeerUsage.charge(window, isUsageFresh(customer), now);
  }

  /** Records units that this node admitted; negative if admitted units were not used. */
  void recordAdmitted(QuotaWindow window, double units) {
    CustomerQuota customer = window.customer;
    window.admittedUnits += units;
    customer.availableUnits -= units;
    customer.usageDuringPartition += units;
    customer.admittedWhilePeersOverdue += units;
    customer.refillAllowance -= units;
    gossip.recordAdmitted(window.counterName, customer.id,
        window.endsAtTicks / windowLengthTicks(customer.plan) - 1, customer.firstNode,
        customer.nodeCount, window.admittedUnits);
  }

  /**
   * Returns the customer of an arriving request; the first request of a customer creates it. If
   * there is no room for another customer, it is not recorded.
   */
  CustomerQuota customerFor(GatewayEvent.RequestArrived arrival) {
    int nodeCount = Math.max(1,
        arrival.nodeCount() > 0 ? arrival.nodeCount() : settings.nodeCount());
    CustomerQuota customer = customers.find(arrival.customer());
    if (customer == null) {
      customer = newCustomer(arrival, nodeCount);
      customers.add(customer);
    }
    customer.nodeCount = Math.max(customer.nodeCount, nodeCount);
    customer.lastRequestAtTicks = now;
    return customer;
  }

  private CustomerQuota newCustomer(GatewayEvent.RequestArrived arrival, int nodeCount) {
    CustomerQuota customer = new CustomerQuota(arrival.customer(),
        settings.quotaPlans().get(arrival.plan()), arrival.firstNode());
    HardCeiling.start(customer, startedAtTicks);
    customer.reservationsByClass = new QuantileReservation[settings.requestClasses().size()];
    customer.learnedShare = 1.0 / nodeCount;
    customer.availableUnits = customer.plan.burstUnits();
    customer.availableUnitsAtTicks = now;
    customer.peerUsageAtTicks = now;
    customer.refillAllowanceAtTicks = now;
    return customer;
  }

  /**
   * Returns the length of the plan's windows, which is the time in which the plan's rate refills
   * its burst.
   */
  static long windowLengthTicks(GatewaySettings.QuotaPlan plan) {
    return Math.max(1,
        (long) (plan.burstUnits() / plan.ratePerSecond() * (double) Ticks.PER_SECOND));
  }

  private static long counterName(CustomerQuota customer, long windowNumber) {
    return (customer.id << WINDOW_NUMBER_BITS) ^ (windowNumber & WINDOW_NUMBER_MASK);
  }

  /**
   * Returns the customer's current window and creates it on first use.
   *
   * @param counterAnswers whether the counter answers; if so, the units of the previous window that
   *     no call reported are used to learn which fraction of the charges is counted in time
   */
  QuotaWindow currentWindow(CustomerQuota customer, boolean counterAnswers) {
    long lengthTicks = windowLengthTicks(customer.plan);
    long number = now / lengthTicks;
    long endsAtTicks = (number + 1) * lengthTicks;
    if (customer.window == null || customer.window.endsAtTicks != endsAtTicks) {
      if (counterAnswers) {
        counterTotals.learnCountedFraction(customer.window);
      }
      QuotaWindow window = new QuotaWindow(customer, counterName(customer, number), endsAtTicks);
      customer.window = windows.put(window.counterName, window);
    }
    return customer.window;
  }

  /** Refills the customer's available units up to now. */
  void refill(CustomerQuota customer) {
    AvailableUnits.refill(customer, now);
    if (!membershipEnabled) {
      return;
    }
    if (customer.isOnFallbackShare()) {
      fallbackShare.updateShare(customer, now);
    } else {
      pooledShare.updateShare(customer, now);
    }
  }

  /**
   * Returns whether the quota has capacity for a request, decided without the counter: by the
   * peers' reports if they are recent, otherwise by this node's share. Any units left of the share
   * admit one complete request.
   */
  boolean hasLocalCapacity(CustomerQuota customer, double requestUnits) {
    if (isUsageFresh(customer)) {
      endFallbackShare(customer);
      return capacityFromGossip.allows(customer, requestUnits, now);
    }
    refill(customer);
    if (!customer.isOnFallbackShare()) {
      fallbackShare.begin(customer, now);
      unreportedPeerUsage.chargePresumedUsage(customer, now);
      fallbackShare.scale(customer, requestUnits);
    }
    return customer.availableUnits > 0;
  }

  private void endFallbackShare(CustomerQuota customer) {
    refill(customer);
    fallbackShare.end(customer, counterTotals.countedFraction());
  }

  private boolean isUsageFresh(CustomerQuota customer) {
    return gossip.isUsageFresh(now, customer.nodeCount);
  }

  /** Returns whether this node's part of the hard ceiling has at least this many units left. */
  boolean ceilingAllows(CustomerQuota customer, double units) {
    return HardCeiling.allows(customer, units, now);
  }

  /** Deducts the units of an admitted request from this node's part of the hard ceiling. */
  void chargeCeiling(CustomerQuota customer, double units) {
    HardCeiling.charge(customer, units);
  }
}
