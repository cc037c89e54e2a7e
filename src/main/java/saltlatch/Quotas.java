package saltlatch;

import java.util.SplittableRandom;
import java.util.function.Predicate;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewaySettings;
import saltlatch.api.GossipMessage;
import saltlatch.member.Shares;
import saltlatch.policy.SlotMap;

/**
 * What a node knows of its customers' quotas: the room that each has left, from count totals, from what peers
 * tell and from what this node passed itself, and this node's part of it where neither is to be had. Does no
 * I/O and reads no clock; {@link Control} asks it and decides. docs/design.md tells the reasons.
 */
final class Quotas {
  // Times in tenths of a ms.
  static final double SECOND = 10_000; // rates are in units a second
  static final double REFILLED = 0.9; // part of the burst at which a spent quota counts as filled again
  static final double DEBT = 0.6; // bursts: what passes beyond a quota draws nothing from it
  static final double SHARE_STEP = 0.1; // step of the learned share of a customer's use: ten answers
  static final double LEAST_SHARE = 0.5; // of an even share, the least: use moves to others within seconds
  static final double SHARE_FROM = 0.25; // part of the burst that a total needs to teach the share
  static final double OTHERS_TIME = 50_000; // 5 s: over this the rate of what other nodes pass is taken
  static final double MOST_TOLD = 8; // bursts: a peer that tells of more in one window is wrong
  static final double NOUGHT = 0.01; // units: totals come to seven digits
  static final double LATE = 1.2; // periods without a word after which a peer may be cut off: one is overdue
  static final double CHANCE_ROOTS = 2; // roots of a burst: with CHANCE_UNITS what chance adds to it
  static final double CHANCE_UNITS = 2; // units: for bursts so small that their root says little
  static final double COUNTED = 0.05; // step of the part of charges counted before the turn: 20 windows

  private final GatewaySettings site;
  private final Gossip gossip;
  private final SplittableRandom chance;
  private final long started;
  private final SlotMap<Customer> customers = new SlotMap<>();
  private final SlotMap<Window> windows = new SlotMap<>();
  private long now;
  private Shares shares; // null: nodes do not know each other
  private double counted = 1; // part of this node's charges that calls carried before their window turned

  Quotas(long now, GatewaySettings site, Gossip gossip, SplittableRandom chance) {
    this.now = now;
    this.site = site;
    this.gossip = gossip;
    this.chance = chance;
    started = now;
  }

  void at(long time) { now = time; }

  void share(Shares with) { shares = with; }

  Window find(long name) { return windows.find(name); }

  /** Each window; one of which the answer is true is forgotten. */
  void eachWindow(Predicate<Window> isOver) {
    windows.forEach(w -> {
      if (isOver.test(w)) windows.release(w.name);
    });
  }

  /** Lets go of customers unseen for long with nothing out, if no part of a ceiling would be forgiven. */
  void forget() {
    customers.forEach(c -> {
      boolean full = ceilingAllows(c, 0) && c.store >= c.plan.ceilingBurstUnits() / c.width;
      boolean unseen = now - c.seen > Control.AGEING && c.out == 0;
      if (unseen && (full || c.plan.ceilingPerSecond() <= 0)) customers.release(c.id);
    });
  }

  /** Takes in a total: what others charged since the last one leaves the customer's room. */
  void follow(Window w, double units, double total) {
    Customer c = w.customer;
    rejoin(c);
    c.totalAt = now;
    w.mine += units;
    if (total + NOUGHT < w.mine) {
      // Guards against lost counts (a flush, a counter back empty): the total is below what this node alone
      // was answered for, so the known floor stands in for the rest of this window.
      w.lost = Math.max(w.seen + units, w.mine) - total;
      w.mine = total;
    }
    double others = total + w.lost - w.seen - units;
    w.seen = total + w.lost;
    double known = Math.min(w.unsure, Math.max(0, others)); // timed-out adds of this node that did count
    w.unsure = 0;
    // Guards against a jam, in which much passes uncounted: others are taken to count as little as this node.
    // Where peers tell what passes uncounted, totals need no such guess.
    double part = gossip.isHeard(now, c.width) ? 1 : counted;
    w.byCount += Math.max(0, others - known) / part + Math.min(0, others);
    w.top += units + known;
    takeIn(w);
  }

  /** The share ends: others' use on shares shows in totals as far as counted in time; the rest is charged. */
  private void rejoin(Customer c) {
    fill(c);
    if (c.alone >= 0) {
      // A draw is no use: over the small part held it would become a debt of many bursts.
      c.room = Math.min(c.plan.burstUnits() * c.held, c.room + c.drawn);
      c.drawn = 0;
      c.room = (c.room + c.alone * counted) / c.held - c.alone * counted + c.presumed;
      c.presumed = 0;
    }
    c.alone = -1;
  }

  /** What others passed in a window, by totals or by their telling, whichever knows more, leaves the room. */
  private void takeIn(Window w) {
    Customer c = w.customer;
    boolean heard = gossip.isHeard(now, c.width);
    double known = w.byPeers > 0 ? Math.max(w.byCount, w.byPeers) : w.byCount;
    double use = known - w.others;
    w.others = known;
    w.top += use;
    // What passes beyond a quota draws nothing from it; where little is known of that, part is held as debt.
    c.room = Math.max(Math.min(c.room, heard ? 0 : -DEBT * c.plan.burstUnits()), c.room - use);
    c.apart += use;
    c.othersUse = fading(c.othersUse, c.othersAt) + Math.max(0, use);
    c.othersAt = now;
    if (w.top > SHARE_FROM * c.plan.burstUnits()) {
      double even = LEAST_SHARE / c.width;
      double part = heard ? even + (1 - LEAST_SHARE) * w.passed / Math.max(NOUGHT, w.passed + w.others)
          : Math.min(1, Math.max(even, w.mine / w.top));
      c.share += SHARE_STEP * (part - c.share);
    }
  }

  void heard(GatewayEvent.GossipReceived h) {
    for (GossipMessage.WindowUsage s : gossip.heard(now, h.sender(), h.message())) {
      Customer c = customers.find(s.customer());
      if (c == null || c.plan.ratePerSecond() <= 0 || s.units() > MOST_TOLD * c.plan.burstUnits()) continue;
      long number = now / length(c.plan);
      number -= Math.floorMod(number - s.windowNumber(), (long) Gossip.TURNS);
      Window w = number == now / length(c.plan) ? window(c, false) : windows.find(name(c, number));
      int at = Math.floorMod(h.sender() - c.first, Math.max(1, site.nodeCount()));
      if (w == null || at >= c.width) continue;
      if (w.told == null) w.told = new double[c.width];
      if (at >= w.told.length || s.units() <= w.told[at]) continue; // told before, or overtaken
      rejoin(c);
      w.byPeers += s.units() - w.told[at];
      w.told[at] = s.units();
      takeIn(w);
    }
  }

  /** Notes what this node passed, or with units below 0 what it did not pass after all. */
  void pass(Window w, double units) {
    Customer c = w.customer;
    w.passed += units;
    c.room -= units;
    c.apart += units;
    c.meanwhile += units;
    c.part -= units;
    gossip.passed(w.name, c.id, w.turn / length(c.plan) - 1, c.first, c.width, w.passed);
  }

  Customer customer(GatewayEvent.RequestArrived a) {
    int width = Math.max(1, a.nodeCount() > 0 ? a.nodeCount() : site.nodeCount());
    Customer c = customers.find(a.customer());
    if (c == null) {
      c = customers.put(a.customer(), new Customer());
      c.id = a.customer();
      c.plan = site.quotaPlans().get(a.plan());
      c.storeAt = started; // a restart fills nothing: the ceiling's part is empty at the instance's start
      c.learners = new double[site.requestClasses().size()][];
      c.share = 1.0 / width;
      c.room = c.plan.burstUnits();
      c.roomAt = c.othersAt = c.partAt = now;
      c.first = a.firstNode();
    }
    c.width = Math.max(c.width, width);
    c.seen = now;
    return c;
  }

  static long length(GatewaySettings.QuotaPlan p) {
    return Math.max(1, (long) (p.burstUnits() / p.ratePerSecond() * SECOND));
  }

  private static long name(Customer c, long number) { return (c.id << 31) ^ (number & 0x7fffffffL); }

  /** {@code mayCount}: the counter answers, so that what was not carried in time tells of a jam. */
  Window window(Customer c, boolean mayCount) {
    long length = length(c.plan);
    long number = now / length;
    if (c.window == null || c.window.turn != (number + 1) * length) {
      Window w = new Window(), old = c.window;
      double all = old == null ? 0 : old.mine + Math.max(0, old.owed);
      if (all > NOUGHT && mayCount) counted += COUNTED * (Math.max(0, old.mine) / all - counted);
      w.customer = c;
      w.name = name(c, number);
      w.turn = (number + 1) * length;
      c.window = windows.put(w.name, w);
    }
    return c.window;
  }

  /** A store's units now, from what it held at a time, its rate and the most it holds. */
  private double filled(double held, long at, double rate, double most) {
    return Math.min(most, held + (now - at) * rate / SECOND);
  }

  void fill(Customer c) {
    double part = c.alone >= 0 ? c.held : c.scale;
    c.room = filled(c.room, c.roomAt, c.plan.ratePerSecond() * part, c.plan.burstUnits() * part);
    c.roomAt = now;
    c.spent &= c.room < REFILLED * c.plan.burstUnits() * part;
    if (shares != null) rescale(c);
  }

  /**
   * The part of the quota that this node may go by has changed: its own, or where peers tell and the counter
   * is silent that of those who hear each other. Guards against sides of a split that each use all of it.
   */
  private void rescale(Customer c) {
    if (c.alone >= 0) {
      double own = Math.max(NOUGHT, shares.own(now, c.first, c.width));
      if (own < c.held && c.room > 0) c.room *= own / c.held;
      c.held = own; // more than before: what the others have left of the room is not known, its refill is
      return;
    }
    boolean told = gossip.isHeard(now, c.width) && now - c.totalAt > gossip.within();
    double to = told ? Math.max(NOUGHT, shares.pooled(now, gossip.within(), c.first, c.width)) : 1;
    if (to == c.scale) return;
    if (c.scale < 1) { // as if all had passed alike; what the others did pass is charged when it shows
      double whole = (c.room + c.apart) / c.scale - c.apart + c.presumed;
      c.room = Math.min(c.plan.burstUnits(), Math.max(-DEBT * c.plan.burstUnits(), whole));
      c.presumed = 0;
    }
    c.apart = 0;
    if (to < 1) presume(c);
    c.room *= to;
    c.scale = to;
  }

  /** Peers are not heard any more: each is taken to have passed meanwhile what this node did. */
  private void presume(Customer c) {
    double units = silent(c) * c.meanwhile;
    c.meanwhile = 0;
    c.presumed += units;
    c.room -= units;
  }

  /** Peers of the customer's set who told lately, but whose next word is overdue. */
  private int silent(Customer c) {
    return shares.silent(now, (long) (LATE * gossip.period()), 2 * gossip.within(), c.first, c.width);
  }

  private double fading(double sum, long at) { return sum * Math.exp((at - now) / OTHERS_TIME); }

  /** Without an answer a customer has this node's learned share of its quota, while any of it is left. */
  boolean hasLocalRoom(Customer c, double units) {
    if (gossip.isHeard(now, c.width)) {
      // Guards against a counter too small for a fleet of many nodes: shares of a store split so many ways
      // hold less than a req. With all passes known but the latest, a req needs room for itself and for what
      // the others will have passed by now; else this node's part of what the store refills.
      rejoin(c);
      double share = c.plan.ratePerSecond() * c.share;
      c.part = Math.max(-c.plan.burstUnits(), filled(c.part, c.partAt, share, c.plan.burstUnits() * c.share));
      c.partAt = now;
      double rate = fading(c.othersUse, c.othersAt) / OTHERS_TIME;
      double unheard = Math.max(rate * gossip.period(), unsaid(c, rate));
      return c.room >= units + unheard || c.room > 0 && c.part > 0;
    }
    fill(c);
    if (c.alone < 0) {
      c.alone = 0;
      c.held = shares == null ? c.share : Math.max(NOUGHT, shares.own(now, c.first, c.width));
      if (shares != null) presume(c);
      c.room *= c.held;
      if (partIsBelowOneReq(c)) draw(c, units);
    }
    return c.room > 0;
  }

  /**
   * Any room above nought lets a whole req through. Guards, where there is no counter, against so many nodes
   * that one req of each is more than the quota and what chance adds to it.
   */
  private boolean partIsBelowOneReq(Customer c) {
    double burst = c.plan.burstUnits();
    double most = burst + CHANCE_ROOTS * Math.sqrt(burst) + CHANCE_UNITS;
    return !site.counter().available() && c.held * most < 1;
  }

  /** This node begins anywhere on the way to its next req, so that all together pass what they hold. */
  private void draw(Customer c, double units) {
    c.drawn = units * chance.nextDouble();
    c.room -= c.drawn;
  }

  /**
   * What those may have passed of whom no word came for over a period: they may be cut off, the same room
   * before their eyes. They are taken to pass what they did, or as much each as this node does meanwhile.
   */
  private double unsaid(Customer c, double rate) {
    if (shares == null) return 0;
    int silent = silent(c);
    if (silent == 0) c.meanwhile = 0;
    return silent == 0 ? 0 : Math.max(rate * LATE * gossip.period(), silent * c.meanwhile);
  }

  /** This node's part of the hard ceiling, from local knowledge: rate and amount over its nodes. */
  boolean ceilingAllows(Customer c, double units) {
    if (c.plan.ceilingPerSecond() <= 0) return true;
    c.store = filled(c.store, c.storeAt, c.plan.ceilingPerSecond() / c.width,
        c.plan.ceilingBurstUnits() / c.width);
    c.storeAt = now;
    return units <= c.store;
  }
}
