package saltlatch.policy;

import java.util.SplittableRandom;
import java.util.function.Predicate;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.membership.QuotaShares;

/**
 * What a node knows of its customers' quotas: the room that each has left, from count totals, from
 * what peers tell and from what this node passed itself, and this node's part of it where neither
 * is to be had. Does no I/O and reads no clock; {@link PolicyEngine} asks it and decides.
 * docs/design.md tells the reasons.
 */
final class QuotaTracker {
  // Times in tenths of a ms.
  static final double SECOND = 10_000; // rates are in units a second
  // part of the burst at which a spent quota counts as filled again
  static final double REFILLED = 0.9;
  static final double DEBT = 0.6; // bursts: what passes beyond a quota draws nothing from it
  // step of the learned share of a customer's use: ten answers
  static final double SHARE_STEP = 0.1;
  // of an even share, the least: use moves to others within seconds
  static final double LEAST_SHARE = 0.5;
  static final double SHARE_FROM = 0.25; // part of the burst that a total needs to teach the share
  // 5 s: over this the rate of what other nodes pass is taken
  static final double OTHERS_TIME = 50_000;
  static final double MOST_TOLD = 8; // bursts: a peer that tells of more in one window is wrong
  static final double NOUGHT = 0.01; // units: totals come to seven digits
  // periods without a word after which a peer may be cut off: one is overdue
  static final double LATE = 1.2;
  // roots of a burst: with CHANCE_UNITS what chance adds to it
  static final double CHANCE_ROOTS = 2;
  static final double CHANCE_UNITS = 2; // units: for bursts so small that their root says little
  // step of the part of charges counted before the turn: 20 windows
  static final double COUNTED = 0.05;

  private final GatewaySettings site;
  private final QuotaGossip gossip;
  private final SplittableRandom chance;
  private final long started;
  private final SlotMap<CustomerQuota> customers = new SlotMap<>();
  private final SlotMap<QuotaWindow> windows = new SlotMap<>();
  private long now;
  private QuotaShares shares; // null: nodes do not know each other
  // part of this node's charges that calls carried before their window turned
  private double counted = 1;

  QuotaTracker(long now, GatewaySettings site, QuotaGossip gossip, SplittableRandom chance) {
    this.now = now;
    this.site = site;
    this.gossip = gossip;
    this.chance = chance;
    started = now;
  }

  void advanceTo(long time) { now = time; }

  void useShares(QuotaShares with) { shares = with; }

  QuotaWindow findWindow(long name) { return windows.find(name); }

  /** Each window; one of which the answer is true is forgotten. */
  void releaseWindowsIf(Predicate<QuotaWindow> isOver) {
    windows.forEach(w -> {
      if (isOver.test(w)) windows.release(w.counterName);
    });
  }

  /**
   * Lets go of customers unseen for long with nothing out, if no part of a ceiling would be
   * forgiven.
   */
  void releaseIdleCustomers() {
    customers.forEach(c -> {
      boolean full = ceilingAllows(c, 0)
          && c.ceilingUnits >= c.plan.ceilingBurstUnits() / c.nodeCount;
      boolean unseen = now - c.lastRequestAt > PolicyEngine.AGEING && c.inFlight == 0;
      if (unseen && (full || c.plan.ceilingPerSecond() <= 0)) customers.release(c.id);
    });
  }

  /** Takes in a total: what others charged since the last one leaves the customer's room. */
  void applyCounterTotal(QuotaWindow w, double units, double total) {
    CustomerQuota c = w.customer;
    rejoin(c);
    c.lastTotalAt = now;
    w.ownConfirmed += units;
    if (total + NOUGHT < w.ownConfirmed) {
      // Guards against lost counts (a flush, a counter back empty): the total is below what this
      // node alone was answered for, so the known floor stands in for the rest of this window.
      w.lostUnits = Math.max(w.lastTotal + units, w.ownConfirmed) - total;
      w.ownConfirmed = total;
    }
    double others = total + w.lostUnits - w.lastTotal - units;
    w.lastTotal = total + w.lostUnits;
    // timed-out adds of this node that did count
    double known = Math.min(w.unconfirmedUnits, Math.max(0, others));
    w.unconfirmedUnits = 0;
    // Guards against a jam, in which much passes uncounted: others are taken to count as little as
    // this node. Where peers tell what passes uncounted, totals need no such guess.
    double part = gossip.isUsageFresh(now, c.nodeCount) ? 1 : counted;
    w.othersByCounter += Math.max(0, others - known) / part + Math.min(0, others);
    w.chargedTotal += units + known;
    takeIn(w);
  }

  /**
   * The share ends: others' use on shares shows in totals as far as counted in time; the rest is
   * charged.
   */
  private void rejoin(CustomerQuota c) {
    refill(c);
    if (c.admittedWithoutCounter >= 0) {
      // A draw is no use: over the small part held it would become a debt of many bursts.
      c.availableUnits = Math.min(c.plan.burstUnits() * c.shareWithoutCounter,
          c.availableUnits + c.startOffset);
      c.startOffset = 0;
      c.availableUnits = (c.availableUnits + c.admittedWithoutCounter * counted)
          / c.shareWithoutCounter - c.admittedWithoutCounter * counted + c.presumedPeerUsage;
      c.presumedPeerUsage = 0;
    }
    c.admittedWithoutCounter = -1;
  }

  /**
   * What others passed in a window, by totals or by their telling, whichever knows more, leaves the
   * room.
   */
  private void takeIn(QuotaWindow w) {
    CustomerQuota c = w.customer;
    boolean heard = gossip.isUsageFresh(now, c.nodeCount);
    double known = w.othersByGossip > 0 ? Math.max(w.othersByCounter, w.othersByGossip)
        : w.othersByCounter;
    double use = known - w.othersCharged;
    w.othersCharged = known;
    w.chargedTotal += use;
    // What passes beyond a quota draws nothing from it; where little is known of that, part is held
    // as debt.
    c.availableUnits = Math.max(Math.min(c.availableUnits, heard ? 0 : -DEBT * c.plan.burstUnits()),
        c.availableUnits - use);
    c.usageWhileSplit += use;
    c.othersUsage = fading(c.othersUsage, c.othersUsageAt) + Math.max(0, use);
    c.othersUsageAt = now;
    if (w.chargedTotal > SHARE_FROM * c.plan.burstUnits()) {
      double even = LEAST_SHARE / c.nodeCount;
      double part = heard
          ? even + (1 - LEAST_SHARE) * w.admittedUnits
              / Math.max(NOUGHT, w.admittedUnits + w.othersCharged)
          : Math.min(1, Math.max(even, w.ownConfirmed / w.chargedTotal));
      c.learnedShare += SHARE_STEP * (part - c.learnedShare);
    }
  }

  void applyGossip(GatewayEvent.GossipReceived h) {
    for (GossipMessage.WindowUsage s : gossip.receive(now, h.sender(), h.message())) {
      CustomerQuota c = customers.find(s.customer());
      if (c == null || c.plan.ratePerSecond() <= 0 || s.units() > MOST_TOLD * c.plan.burstUnits())
        continue;
      long number = now / windowLengthTicks(c.plan);
      number -= Math.floorMod(number - s.windowNumber(), (long) QuotaGossip.WINDOW_NUMBER_MODULUS);
      QuotaWindow w = number == now / windowLengthTicks(c.plan) ? currentWindow(c, false)
          : windows.find(name(c, number));
      int at = Math.floorMod(h.sender() - c.firstNode, Math.max(1, site.nodeCount()));
      if (w == null || at >= c.nodeCount) continue;
      if (w.gossipByNode == null) w.gossipByNode = new double[c.nodeCount];
      // told before, or overtaken
      if (at >= w.gossipByNode.length || s.units() <= w.gossipByNode[at]) continue;
      rejoin(c);
      w.othersByGossip += s.units() - w.gossipByNode[at];
      w.gossipByNode[at] = s.units();
      takeIn(w);
    }
  }

  /** Notes what this node passed, or with units below 0 what it did not pass after all. */
  void recordAdmitted(QuotaWindow w, double units) {
    CustomerQuota c = w.customer;
    w.admittedUnits += units;
    c.availableUnits -= units;
    c.usageWhileSplit += units;
    c.admittedWhilePeersSilent += units;
    c.refillAllowance -= units;
    gossip.recordAdmitted(w.counterName, c.id, w.endsAt / windowLengthTicks(c.plan) - 1,
        c.firstNode, c.nodeCount, w.admittedUnits);
  }

  CustomerQuota customerFor(GatewayEvent.RequestArrived a) {
    int width = Math.max(1, a.nodeCount() > 0 ? a.nodeCount() : site.nodeCount());
    CustomerQuota c = customers.find(a.customer());
    if (c == null) {
      c = customers.put(a.customer(), new CustomerQuota());
      c.id = a.customer();
      c.plan = site.quotaPlans().get(a.plan());
      // a restart fills nothing: the ceiling's part is empty at the instance's start
      c.ceilingUnitsAt = started;
      c.estimates = new double[site.requestClasses().size()][];
      c.learnedShare = 1.0 / width;
      c.availableUnits = c.plan.burstUnits();
      c.availableUnitsAt = c.othersUsageAt = c.refillAllowanceAt = now;
      c.firstNode = a.firstNode();
    }
    c.nodeCount = Math.max(c.nodeCount, width);
    c.lastRequestAt = now;
    return c;
  }

  static long windowLengthTicks(GatewaySettings.QuotaPlan p) {
    return Math.max(1, (long) (p.burstUnits() / p.ratePerSecond() * SECOND));
  }

  private static long name(CustomerQuota c, long number) {
    return (c.id << 31) ^ (number & 0x7fffffffL);
  }

  /** {@code mayCount}: the counter answers, so that what was not carried in time tells of a jam. */
  QuotaWindow currentWindow(CustomerQuota c, boolean mayCount) {
    long length = windowLengthTicks(c.plan);
    long number = now / length;
    if (c.window == null || c.window.endsAt != (number + 1) * length) {
      QuotaWindow w = new QuotaWindow(), old = c.window;
      double all = old == null ? 0 : old.ownConfirmed + Math.max(0, old.uncarriedUnits);
      if (all > NOUGHT && mayCount)
        counted += COUNTED * (Math.max(0, old.ownConfirmed) / all - counted);
      w.customer = c;
      w.counterName = name(c, number);
      w.endsAt = (number + 1) * length;
      c.window = windows.put(w.counterName, w);
    }
    return c.window;
  }

  /** A store's units now, from what it held at a time, its rate and the most it holds. */
  private double filled(double held, long at, double rate, double most) {
    return Math.min(most, held + (now - at) * rate / SECOND);
  }

  void refill(CustomerQuota c) {
    double part = c.admittedWithoutCounter >= 0 ? c.shareWithoutCounter : c.gossipShare;
    c.availableUnits = filled(c.availableUnits, c.availableUnitsAt, c.plan.ratePerSecond() * part,
        c.plan.burstUnits() * part);
    c.availableUnitsAt = now;
    c.exhausted &= c.availableUnits < REFILLED * c.plan.burstUnits() * part;
    if (shares != null) rescale(c);
  }

  /**
   * The part of the quota that this node may go by has changed: its own, or where peers tell and
   * the counter is silent that of those who hear each other. Guards against sides of a split that
   * each use all of it.
   */
  private void rescale(CustomerQuota c) {
    if (c.admittedWithoutCounter >= 0) {
      double own = Math.max(NOUGHT, shares.ownShare(now, c.firstNode, c.nodeCount));
      if (own < c.shareWithoutCounter && c.availableUnits > 0)
        c.availableUnits *= own / c.shareWithoutCounter;
      // more than before: what the others have left of the room is not known, its refill is
      c.shareWithoutCounter = own;
      return;
    }
    boolean told = gossip.isUsageFresh(now, c.nodeCount)
        && now - c.lastTotalAt > gossip.validityTicks();
    double to = told ? Math.max(NOUGHT,
        shares.pooledShare(now, gossip.validityTicks(), c.firstNode, c.nodeCount)) : 1;
    if (to == c.gossipShare) return;
    // as if all had passed alike; what the others did pass is charged when it shows
    if (c.gossipShare < 1) {
      double whole = (c.availableUnits + c.usageWhileSplit) / c.gossipShare - c.usageWhileSplit
          + c.presumedPeerUsage;
      c.availableUnits = Math.min(c.plan.burstUnits(),
          Math.max(-DEBT * c.plan.burstUnits(), whole));
      c.presumedPeerUsage = 0;
    }
    c.usageWhileSplit = 0;
    if (to < 1) presume(c);
    c.availableUnits *= to;
    c.gossipShare = to;
  }

  /** Peers are not heard any more: each is taken to have passed meanwhile what this node did. */
  private void presume(CustomerQuota c) {
    double units = silent(c) * c.admittedWhilePeersSilent;
    c.admittedWhilePeersSilent = 0;
    c.presumedPeerUsage += units;
    c.availableUnits -= units;
  }

  /** Peers of the customer's set who told lately, but whose next word is overdue. */
  private int silent(CustomerQuota c) {
    return shares.overdueNodes(now, (long) (LATE * gossip.periodTicks()),
        2 * gossip.validityTicks(), c.firstNode, c.nodeCount);
  }

  private double fading(double sum, long at) { return sum * Math.exp((at - now) / OTHERS_TIME); }

  /**
   * Without an answer a customer has this node's learned share of its quota, while any of it is
   * left.
   */
  boolean hasLocalCapacity(CustomerQuota c, double units) {
    if (gossip.isUsageFresh(now, c.nodeCount)) {
      // Guards against a counter too small for a fleet of many nodes: shares of a store split so
      // many ways hold less than a req. With all passes known but the latest, a req needs room for
      // itself and for what the others will have passed by now; else this node's part of what the
      // store refills.
      rejoin(c);
      double share = c.plan.ratePerSecond() * c.learnedShare;
      c.refillAllowance = Math.max(-c.plan.burstUnits(), filled(c.refillAllowance,
          c.refillAllowanceAt, share, c.plan.burstUnits() * c.learnedShare));
      c.refillAllowanceAt = now;
      double rate = fading(c.othersUsage, c.othersUsageAt) / OTHERS_TIME;
      double unheard = Math.max(rate * gossip.periodTicks(), unsaid(c, rate));
      return c.availableUnits >= units + unheard || c.availableUnits > 0 && c.refillAllowance > 0;
    }
    refill(c);
    if (c.admittedWithoutCounter < 0) {
      c.admittedWithoutCounter = 0;
      c.shareWithoutCounter = shares == null ? c.learnedShare
          : Math.max(NOUGHT, shares.ownShare(now, c.firstNode, c.nodeCount));
      if (shares != null) presume(c);
      c.availableUnits *= c.shareWithoutCounter;
      if (partIsBelowOneReq(c)) draw(c, units);
    }
    return c.availableUnits > 0;
  }

  /**
   * Any room above nought lets a whole req through. Guards, where there is no counter, against so
   * many nodes that one req of each is more than the quota and what chance adds to it.
   */
  private boolean partIsBelowOneReq(CustomerQuota c) {
    double burst = c.plan.burstUnits();
    double most = burst + CHANCE_ROOTS * Math.sqrt(burst) + CHANCE_UNITS;
    return !site.counter().available() && c.shareWithoutCounter * most < 1;
  }

  /**
   * This node begins anywhere on the way to its next req, so that all together pass what they hold.
   */
  private void draw(CustomerQuota c, double units) {
    c.startOffset = units * chance.nextDouble();
    c.availableUnits -= c.startOffset;
  }

  /**
   * What those may have passed of whom no word came for over a period: they may be cut off, the
   * same room before their eyes. They are taken to pass what they did, or as much each as this node
   * does meanwhile.
   */
  private double unsaid(CustomerQuota c, double rate) {
    if (shares == null) return 0;
    int silent = silent(c);
    if (silent == 0) c.admittedWhilePeersSilent = 0;
    return silent == 0 ? 0
        : Math.max(rate * LATE * gossip.periodTicks(), silent * c.admittedWhilePeersSilent);
  }

  /** This node's part of the hard ceiling, from local knowledge: rate and amount over its nodes. */
  boolean ceilingAllows(CustomerQuota c, double units) {
    if (c.plan.ceilingPerSecond() <= 0) return true;
    c.ceilingUnits = filled(c.ceilingUnits, c.ceilingUnitsAt,
        c.plan.ceilingPerSecond() / c.nodeCount, c.plan.ceilingBurstUnits() / c.nodeCount);
    c.ceilingUnitsAt = now;
    return units <= c.ceilingUnits;
  }
}
