package saltlatch.policy;

import java.util.SplittableRandom;
import java.util.function.Predicate;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.api.Ticks;
import saltlatch.membership.QuotaShares;

/**
 * Quotas of all customers as this node knows them. Owns every {@link CustomerQuota} and {@link
 * QuotaWindow}, and brings counter totals, gossip and this node's own admissions to the rules that
 * act on them.
 *
 * <p>Who may use which part of a quota:
 * <ul>
 * <li>the counter answers: all of it, less what {@link CounterTotals} shows of the others;
 * <li>it does not, and peers report: {@link CapacityFromGossip}, within {@link PooledShare};
 * <li>neither is to be had: {@link FallbackShare}.
 * </ul>
 * In each case {@link AvailableUnits} refills what is left, and {@link HardCeiling} bounds all.
 *
 * <p>Does no I/O and reads no clock: {@link PolicyEngine} calls it on its one thread and decides.
 * Times are ticks, amounts units.
 */
final class QuotaManager {
  /** A customer without requests for so long is forgotten: a minute. */
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
  private final SlotMap<CustomerQuota> customers = new SlotMap<>();
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

  /** Sets the time of what follows. */
  void advanceTo(long time) {
    now = time;
  }

  /** Nodes know each other from now on: shares follow the leases. */
  void setQuotaShares(QuotaShares shares) {
    membershipEnabled = true;
    fallbackShare.setQuotaShares(shares);
    unreportedPeerUsage.setQuotaShares(shares);
    pooledShare.setQuotaShares(shares);
  }

  /** The window of that name at the counter; null if it is released. */
  QuotaWindow findWindow(long counterName) {
    return windows.find(counterName);
  }

  /** Visits each window and releases those of which the predicate is true. */
  void releaseWindowsIf(Predicate<QuotaWindow> isOver) {
    windows.forEach(window -> {
      if (isOver.test(window)) {
        windows.release(window.counterName);
      }
    });
  }

  /** Releases customers idle for long, unless that would forgive a part of a ceiling. */
  void releaseIdleCustomers() {
    customers.forEach(customer -> {
      boolean ceilingMayBeForgotten = HardCeiling.mayRelease(customer, now);
      boolean idle = now - customer.lastRequestAtTicks > IDLE_TICKS && customer.inFlight == 0;
      if (idle && ceilingMayBeForgotten) {
        customers.release(customer.id);
      }
    });
  }

  /**
   * Takes in an answer of the counter.
   *
   * @param ownUnits   units that the answered call added
   * @param totalUnits the count behind that call
   */
  void applyCounterTotal(QuotaWindow window, double ownUnits, double totalUnits) {
    CustomerQuota customer = window.customer;
    endFallbackShare(customer);
    customer.lastCounterTotalAtTicks = now;
    boolean usageFresh = isUsageFresh(customer);
    counterTotals.apply(window, ownUnits, totalUnits, usageFresh);
    PeerUsage.charge(window, usageFresh, now);
  }

  /** Takes in a peer's message. */
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

  /** Notes units that this node admitted; below 0, that it did not use after all. */
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

  /** The customer of a request that has arrived, created at its first one. */
  CustomerQuota customerFor(GatewayEvent.RequestArrived arrival) {
    int nodeCount = Math.max(1,
        arrival.nodeCount() > 0 ? arrival.nodeCount() : settings.nodeCount());
    CustomerQuota customer = customers.find(arrival.customer());
    if (customer == null) {
      customer = customers.put(arrival.customer(), newCustomer(arrival, nodeCount));
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

  /** A window lasts as long as the plan's rate takes to refill its burst. */
  static long windowLengthTicks(GatewaySettings.QuotaPlan plan) {
    return Math.max(1,
        (long) (plan.burstUnits() / plan.ratePerSecond() * (double) Ticks.PER_SECOND));
  }

  private static long counterName(CustomerQuota customer, long windowNumber) {
    return (customer.id << WINDOW_NUMBER_BITS) ^ (windowNumber & WINDOW_NUMBER_MASK);
  }

  /**
   * The customer's window now, created at its first use.
   *
   * @param counterAnswers what the window before it left uncarried shows how much goes uncounted
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

  /** Brings the customer's available units up to now. */
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
   * Whether the quota has capacity for a request, decided without the counter: by what peers report
   * if that is fresh, else by this node's share, of which any units left admit a whole request.
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

  /** Whether this node's part of the hard ceiling holds so many units. */
  boolean ceilingAllows(CustomerQuota customer, double units) {
    return HardCeiling.allows(customer, units, now);
  }

  /** Takes the units of an admitted request out of this node's part of the hard ceiling. */
  void chargeCeiling(CustomerQuota customer, double units) {
    HardCeiling.charge(customer, units);
  }
}
