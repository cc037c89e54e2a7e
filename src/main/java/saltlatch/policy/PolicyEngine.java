package saltlatch.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.api.GatewayActions;
import saltlatch.api.GatewayEvent;
import saltlatch.api.GatewayEvent.AttemptOutcome;
import saltlatch.api.GatewayPolicy;
import saltlatch.api.GatewaySettings;
import saltlatch.membership.QuotaShares;

/**
 * The decision module: every decision of an edge node. A host makes one Control an instance from
 * what is read at start ({@link GatewaySettings}), calls {@link #handle} with the events of one
 * instant, and does what comes out through {@link GatewayActions}; the interface stands in
 * saltlatch.api. Event handlers only change what is wanted: of a req (its next app srv, its end,
 * its timer), of the instance (count calls); {@link #bring} alone works out the difference to what
 * is and emits it. docs/design.md tells the reasons.
 */
public final class PolicyEngine implements GatewayPolicy {
  // Times in tenths of a ms. Reservation, hold cost, overrun cost, settle: the design's terms.
  static final double HOLD_COST = 1; // loss a unit reserved too much; the design's start value
  static final double OVERRUN_COST = 3; // loss a unit reserved too little; the design's start value
  static final long AGEING = 600_000; // a minute unseen drops a learner, as the design says
  static final long LONGEST_KEPT = 600_000; // 60 s: the longest time a counter keeps a name
  static final long ROUND = 1_000; // 100 ms between housekeepings: fine beside troubles of seconds
  static final double KEPT_BACK = 0.35; // part of the wait allowed that is kept from belated tries
  // part of the shortest response target that a count is waited for
  static final double COUNT_WAIT = 0.05;
  // count calls in a row without answer before the counter is taken as bad
  static final int MISSES = 2;
  static final double GAP_FIRST = 100; // 10 ms between calls to a bad counter at first
  // the gap grows by this, once a round, while answers are missing
  static final double GAP_UP = 1.5;
  static final double GAP_MOST = 2_000; // 200 ms: five tests a second find its return, load nothing
  // nodes that may use these gaps together: 2,000 calls a second at first
  static final double GAP_NODES = 20;
  // 0.33 s: time constant of the gap while calls use it, answered
  static final double GAP_FADE = 3_300;
  // 1 s: the same where reqs come seldomer than the gap allows
  static final double GAP_CLOSE = 10_000;
  // 4 s: an app srv's record fades; tens of dispatches, yet fresh
  static final double MEMORY = 40_000;
  // turns of the rotation that a record lasts at least: few reqs tell little
  static final double TURNS = 3;
  // dispatches at fleet speed assumed of every app srv, steadies the few
  static final double PRIOR = 3;
  static final double FAULT = 8; // mean dispatch times that a failed dispatch counts as lost time
  static final double LEARN = 0.02; // step of the mean time a unit takes: about 50 dispatches
  // least units of a req and rating of an app srv: none is nothing
  static final double LEAST_UNIT = 0.1;
  // part of the response target a dispatch is first thought to take
  static final double FIRST_PACE = 0.25;
  // mean dispatch times without any answer before an app srv may be pausing
  static final double QUIET = 2;
  // times the fleet's time: an app srv that bad tells nothing of the others
  static final double SICK = 3;
  static final double DEAD = 5; // mean dispatch times without any answer that make an app srv sick
  static final double STUCK = 0.5; // part of the response target; longer on a sick app srv is stuck
  static final double CROWD = 2; // times its fair part of what is out that an app srv may hold
  static final double CROWD_FREE = 2; // dispatches out that never make an app srv crowded
  // turns an app srv may be ahead or behind, so that none saves up a rush
  static final double CREDIT = 2;
  // part of the cold budget used: the bound holds in 99 of 100 draws
  static final double COLD_USE = 0.85;
  static final long WAY = 200; // 20 ms: a further dispatch's last byte is there by then, as a rule
  static final double RATE_TIME = 10_000; // 1 s: over this the rate of passed dispatches is taken
  // part of the response target that dispatches may take on average
  static final double WAIT_PART = 0.3;
  // dispatches out of all nodes for each warm app srv, free of pressure
  static final double FREE_OUT = 3;
  // more dispatches out of a node while quick: so many meet by chance
  static final double CHANCE_OUT = 4;
  static final double CHANCE_ALL = 2; // of these for each warm app srv, over all nodes
  // times the wait allowed at which recent dispatches leave none of these
  static final double LONG_WAIT = 2;
  static final double RECENT = 0.1; // step of the recent time of a dispatch: about ten
  // mean dispatch times that a further try needs left of its response target
  static final double PROMPT = 2;
  static final long VOTES = 100; // tries: how firmly the usual wait is held
  static final double VALUE_TILT = 0.3; // how much a req's value stretches the wait allowed
  static final double VALUE_STEP = 0.01; // step of the mean value: about 100 reqs
  // part of the shortest response target: overdue by more, it did not run
  static final double AWAY = 0.5;
  static final double SPREAD_BACK = 0.5; // part of a window over which come-back advice is spread
  static final long TICKS_SPARE = 2; // ticks before the client timeout that a final answer goes out

  // Lives for the instance.
  private final GatewaySettings site;
  private final GatewaySettings.Limits rules;
  private final GatewayActions to;
  private final SplittableRandom chance;
  private final QuotaGossip gossip;
  private final QuotaTracker quotas;
  private QuotaShares shares; // null: nodes do not know each other, and count as the settings say
  private final List<RequestClassStats> kinds = new ArrayList<>();
  private final SlotMap<RequestState> reqs = new SlotMap<>();
  private final SlotMap<ServerState> srvs = new SlotMap<>();
  private final List<RequestState> touched = new ArrayList<>();
  private final List<CounterCall> wantCalls = new ArrayList<>();
  private long now, longest; // the latter: client timeout
  private final long awayAfter;
  private long backAt; // this node was away until then
  private long countWait = Long.MAX_VALUE; // a count call is waited for so long
  private int misses; // count calls in a row without an answer
  private double gap; // between count calls; 0: the counter is well
  private long nextCall, nextGap, judgedAt;
  private double passed, meanValue; // fading number of passed dispatches; of a unit
  private int out;
  private double memory = MEMORY; // over this an app srv's record fades
  // fading, over the cold rule's window; the latter: of what was wanted
  private double unitsSent, unitsAsked;
  private double warmSeen; // app srvs, cold ones counted in part
  private int usable; // app srvs, cold ones in full
  private long followAt; // discovery is asked then; asked already: never
  private long roundAt, roundSet; // next housekeeping: wanted, and asked for

  public PolicyEngine(long now, GatewaySettings site, GatewayActions to) {
    this.now = now;
    this.site = site;
    this.to = to;
    rules = site.limits();
    chance = new SplittableRandom(site.seed());
    gossip = new QuotaGossip(site.peers().ownIndex(), site.nodeCount(),
        site.peers().datagramsPerSecond(), site.peers().datagramPrice());
    quotas = new QuotaTracker(now, site, gossip, chance);
    long shortest = Long.MAX_VALUE;
    for (GatewaySettings.RequestClass f : site.requestClasses()) {
      shortest = Math.min(shortest, f.latencyObjectiveTicks());
      kinds.add(new RequestClassStats(f));
      longest = Math.max(longest, f.clientTimeoutTicks());
      countWait = Math.min(countWait, (long) (COUNT_WAIT * f.latencyObjectiveTicks()));
    }
    awayAfter = Math.max(2 * ROUND, (long) (AWAY * shortest));
    roundAt = now + ROUND;
  }

  @Override
  public long stallThresholdTicks() { return awayAfter; }

  @Override
  public long gossipValidityTicks() { return gossip.validityTicks(); }

  @Override
  public void handle(long at, List<GatewayEvent> events) {
    boolean away = roundSet > 0 && at - Math.max(roundSet, now) > awayAfter;
    long ran = now;
    now = at;
    if (away) back(ran);
    quotas.advanceTo(at);
    for (GatewayEvent e : events) {
      if (e instanceof GatewayEvent.RequestArrived a) arrived(a);
      else if (e instanceof GatewayEvent.AttemptEnded d) ended(d);
      else if (e instanceof GatewayEvent.CounterReplied c) counted(c);
      else if (e instanceof GatewayEvent.TimerFired d) due(d);
      else if (e instanceof GatewayEvent.EndpointsUpdated l) listed(l);
      else if (e instanceof GatewayEvent.GossipReceived h) quotas.applyGossip(h);
      else if (e instanceof GatewayEvent.ResponseStarted b) begun(reqs.find(b.requestId()));
      else if (e instanceof GatewayEvent.ClientDisconnected c) left(reqs.find(c.requestId()));
      else if (e instanceof GatewayEvent.MembershipChanged m) members(m);
    }
    bring();
  }

  /**
   * Its round is long overdue: this node was stopped, or starved, since it last ran. Guards against
   * beliefs that its own absence made: app srvs silent and slow, a counter without answers. Harms
   * where the host's clock leaps. The time away is taken out of what is measured; what came
   * meanwhile is as old as is told.
   */
  private void back(long ran) {
    backAt = now;
    srvs.forEach(s -> s.lastResponseAt = now);
    reqs.forEach(r -> {
      Attempt d = r.attempt;
      if (d == null) return;
      d.countedFrom += now - ran;
      d.server.elapsedBase += (now - ran) / d.expectedTicks;
    });
    to.log("was away for " + (now - ran) / 10 + " ms");
  }

  private static void begun(RequestState r) {
    if (r != null) r.streaming = true;
  }

  private void left(RequestState r) {
    if (r != null) touch(r).finished = true;
  }

  private void members(GatewayEvent.MembershipChanged m) {
    if (shares == null) {
      shares = new QuotaShares(site.peers().ownIndex(), site.nodeCount());
      quotas.useShares(shares);
      gossip.useShares(shares);
    }
    shares.update(m);
  }

  /** Nodes that what all may do together is divided by. */
  private int nodes() {
    return shares == null ? Math.max(1, site.nodeCount()) : shares.divisorNodes();
  }

  // ---- arriving and counting

  private void arrived(GatewayEvent.RequestArrived a) {
    RequestState r = reqs.put(a.requestId(), new RequestState());
    r.arrival = a;
    r.stats = kinds.get(a.requestClass());
    r.customer = quotas.customerFor(a);
    r.deadline = now + a.clientTimeoutTicks() - a.ageTicks()
        - TICKS_SPARE * site.clockResolutionTicks();
    boolean usual = r.stats.isUsualTimeout(a.clientTimeoutTicks(), site.clockResolutionTicks());
    long waited = usual ? longest
        : r.stats.requestClass.clientTimeoutTicks() - a.clientTimeoutTicks() + a.ageTicks();
    boolean further = rules.clientsMarkRetries() ? a.retry() : !usual;
    r.lateRetry = further
        && waited + PROMPT * pace(r) >= r.stats.requestClass.latencyObjectiveTicks();
    touch(r);
    if (r.deadline <= now) finish(r, RequestEnd.REJECTED, 0);
    else if (r.customer.plan.ratePerSecond() <= 0) decide(r, true);
    else ask(r);
  }

  private void ask(RequestState r) {
    r.reservedUnits = site.counter().reportsActualUnits() ? learner(r)[0]
        : r.arrival.estimatedUnits();
    r.window = quotas.currentWindow(r.customer, misses == 0);
    quotas.refill(r.customer);
    // Once its window is spent and no room is known, a req only reads: adds that are sure to be
    // given back would make the customer look fuller to the other nodes than it is. Guards against
    // client tries that come back past their response target and take room from first ones: none
    // passes for a spent customer or in a jam. Harms nobody in time, unless a wait is told wrongly.
    boolean full = r.customer.exhausted && r.customer.admittedWithoutCounter < 0
        && r.customer.availableUnits < r.reservedUnits
        || r.lateRetry && (r.customer.exhausted || !counterIsWell());
    // What peers tell is known without a call: calls are for reqs that it leaves room for.
    boolean heard = !counterIsWell() && gossip.isUsageFresh(now, r.customer.nodeCount);
    if (heard) full = r.lateRetry || !quotas.hasLocalCapacity(r.customer, r.reservedUnits);
    // Guards against a counter that is silent, refusing, full or slow: a call goes out every gap,
    // for the next req in time; a share decides the others. Harms a little where two calls are lost
    // by chance.
    if (counterIsWell()
        || site.counter().available() && !r.lateRetry && now >= nextCall && !(heard && full)) {
      nextCall = now + (long) gap;
      r.chargedUnits = full ? 0 : r.reservedUnits;
      r.awaitingCounter = true;
      call(r.window, r, r.chargedUnits);
      return;
    }
    decide(r, !full && (heard || quotas.hasLocalCapacity(r.customer, r.reservedUnits)));
    r.window.uncarriedUnits += r.admitted ? r.reservedUnits : 0;
  }

  /** Wants a count call, which carries what is owed there too. */
  private void call(QuotaWindow w, RequestState r, double units) {
    CounterCall c = new CounterCall(w, r, units + w.uncarriedUnits, now);
    w.uncarriedUnits = 0;
    w.calls.add(c);
    wantCalls.add(c);
  }

  private void counted(GatewayEvent.CounterReplied c) {
    QuotaWindow w = quotas.findWindow(c.counterName());
    if (w == null || w.calls.isEmpty()) return;
    CounterCall call = w.calls.poll();
    RequestState r = call.request();
    boolean answered = c.outcome() == AttemptOutcome.SUCCEEDED;
    // Guards against a counter taken for bad, or for well, by a call that this node was away under.
    if (call.sentAt() >= backAt) judgeCounter(answered);
    if (answered) {
      quotas.applyCounterTotal(w, call.units(), c.total());
      if (r == null) return;
      boolean below = w.chargedTotal - r.chargedUnits < w.customer.plan.burstUnits();
      w.customer.exhausted |= !below || w.customer.availableUnits <= 0;
      // Guards against windows that differ from the quota's store: a heavy customer would spend
      // each window at its start, stand denied with room, and find a whole burst again at the turn.
      boolean heard = gossip.isUsageFresh(now, w.customer.nodeCount);
      boolean room = heard ? quotas.hasLocalCapacity(r.customer, r.reservedUnits)
          : w.customer.availableUnits >= r.reservedUnits;
      decide(r, w.customer.exhausted ? !r.lateRetry && room : below);
    } else if (r != null) {
      decide(r, quotas.hasLocalCapacity(r.customer, r.reservedUnits));
    }
    // A timed-out or broken add may have counted: it is taken as counted, and not as another node's
    // when it shows in a total. What was turned away is owed again.
    if (c.outcome().neverExecuted()) w.uncarriedUnits += call.units();
    else if (!answered) w.unconfirmedUnits += call.units();
    if (r != null) {
      r.awaitingCounter = false;
      w.uncarriedUnits += (r.admitted ? r.reservedUnits : 0) - r.chargedUnits;
      touch(r);
    }
    if (answered && w.uncarriedUnits != 0 && counterIsWell()) call(w, null, 0);
  }

  private boolean counterIsWell() { return site.counter().available() && gap == 0; }

  private void judgeCounter(boolean answered) {
    misses = answered ? 0 : misses + 1;
    // the nodes together must not test it into a jam
    double crowd = Math.max(1, nodes() / GAP_NODES);
    if (answered) {
      // Guards against a gap that stays with a counter long well where reqs come seldomer than
      // calls may.
      gap *= Math
          .exp(-Math.max(gap / GAP_FADE, Math.min(ROUND, now - judgedAt) / GAP_CLOSE) / crowd);
      gap = gap < site.clockResolutionTicks() ? 0 : gap;
    } else if ((misses >= MISSES || gap > 0) && now >= nextGap) {
      nextGap = now + ROUND;
      gossip.counterUnhealthy(now);
      gap = Math.min(GAP_MOST * crowd, Math.max(GAP_FIRST * crowd, gap * GAP_UP));
    }
    judgedAt = now;
  }

  /** Ends the question of admission; the caller gives back what was charged for a denied req. */
  private void decide(RequestState r, boolean room) {
    if (r.finished || r.wantedEnd != RequestEnd.NONE) return;
    touch(r);
    // Guards against a count's answer that was read long after it came: nobody waits for this req
    // any more.
    if (r.deadline <= now) {
      finish(r, RequestEnd.REJECTED, 0);
      return;
    }
    if (!room) {
      finish(r, RequestEnd.REJECTED, pauseWithoutRoom(r));
      return;
    }
    CustomerQuota c = r.customer;
    boolean open = c.plan.maxConcurrent() <= 0
        || c.inFlight < Math.max(1, Math.ceil(c.plan.maxConcurrent() * c.learnedShare));
    if (!open || !quotas.ceilingAllows(c, r.arrival.estimatedUnits()) || pressed(r)
        || (r.nextServer = choose(r)) == null) {
      finish(r, RequestEnd.REJECTED, rules.maxRetryAfterTicks());
      return;
    }
    r.admitted = true;
    if (r.window != null) quotas.recordAdmitted(r.window, r.reservedUnits);
    c.admittedWithoutCounter += c.admittedWithoutCounter >= 0 ? r.reservedUnits : 0;
    c.ceilingUnits -= r.arrival.estimatedUnits();
  }

  /** When the client of a request that its quota has no room for should come back. */
  private long pauseWithoutRoom(RequestState r) {
    double spread = SPREAD_BACK * QuotaTracker.windowLengthTicks(r.customer.plan)
        * chance.nextDouble();
    long unsure = Math.max(0, nextCall - now) + (long) (gap * chance.nextDouble());
    boolean known = r.lateRetry || r.awaitingCounter
        || gossip.isUsageFresh(now, r.customer.nodeCount);
    return known ? r.window.endsAt - now + (long) spread : unsure;
  }

  // ---- reservations

  private double[] learner(RequestState r) {
    double[][] all = r.customer.estimates;
    int at = r.arrival.requestClass();
    if (all[at] == null) all[at] = new double[] {
        Math.min(r.arrival.estimatedUnits(), r.customer.plan.burstUnits()), 0};
    return all[at];
  }

  private void settle(RequestState r, double actual) {
    double[] l = learner(r);
    double range = r.customer.plan.burstUnits();
    double slope = l[0] > actual ? HOLD_COST : l[0] < actual ? -OVERRUN_COST : 0;
    double step = range / Math.max(HOLD_COST, OVERRUN_COST) / Math.sqrt(++l[1]);
    l[0] = Math.max(0, Math.min(range, l[0] - step * slope));
    if (r.window == null || actual == r.reservedUnits) return;
    quotas.recordAdmitted(r.window, actual - r.reservedUnits);
    r.window.uncarriedUnits += actual - r.reservedUnits;
    if (counterIsWell()) call(r.window, null, 0);
  }

  // ---- app srvs

  private void fade(ServerState s) {
    double keep = Math.exp((s.decayedAt - now) / memory);
    s.completed *= keep;
    s.spentTime *= keep;
    s.decayedAt = now;
  }

  // What it has been seen to manage: dispatches for the time they took, what is out counting as
  // unfinished and a failed one as time lost. One judgement for slow, pausing, failing and dead app
  // srvs alike. Harms one that drew a few very costly reqs.
  private double slowness(ServerState s) {
    fade(s);
    double age = Math.max(0, now * s.inverseExpectedSum - s.elapsedBase);
    return (s.spentTime + age + PRIOR) / (s.completed + PRIOR);
  }

  /** Mean dispatch times since it last answered anything, while something is out there. */
  private double quiet(ServerState s) {
    return s.inFlight == 0 ? 0 : (now - s.lastResponseAt) * s.inverseExpectedSum / s.inFlight;
  }

  /** Squared, since a slow app srv is slower still by its queue. */
  private double weight(ServerState s) {
    double slowness = slowness(s) * Math.max(1, quiet(s) / QUIET);
    return Math.max(LEAST_UNIT, s.weight) * warmth(s) / (slowness * slowness);
  }

  private double warmth(ServerState s) {
    long age = now - s.startedAt;
    if (s.startedAt <= 0 || age >= rules.warmUpTicks()) return 1;
    return rules.initialCapacity()
        + (1 - rules.initialCapacity()) * Math.max(0, age) / rules.warmUpTicks();
  }

  /**
   * A cold app srv takes, in each window of the rule, a part of what warm ones get times the
   * multiple. A node's part is a rate, begun at random: many nodes with a part below one req must
   * not send it one each.
   */
  private boolean coldAllows(ServerState s) {
    double warmth = warmth(s);
    if (warmth >= 1) return true;
    // By number, not by warmth: of few warm ones each would seem to carry much, and most is cold
    // then.
    double carried = Math.max(unitsSent, unitsAsked) / Math.max(1, usable);
    double budget = COLD_USE * rules.warmUpBudgetFactor() * warmth * carried;
    double gained = budget * (now - s.warmUpBudgetAt) / Math.max(1, rules.warmUpWindowTicks());
    s.warmUpBudgetLeft = Math.min(Math.max(1, budget), s.warmUpBudgetLeft + gained);
    s.warmUpBudgetAt = now;
    return s.warmUpBudgetLeft >= 1;
  }

  /**
   * It has just started, or is heard of so: this node begins anywhere on the way to its first
   * dispatch.
   */
  private void chill(ServerState s) {
    s.warmUpBudgetLeft = chance.nextDouble();
    s.warmUpBudgetAt = now;
  }

  /**
   * The weighted rotation: each gains its part, the richest that is not crowded gets the turn and
   * pays.
   */
  private ServerState choose(RequestState r) {
    List<ServerState> able = new ArrayList<>();
    if (r.attemptCount == 0) unitsAsked += r.arrival.estimatedUnits();
    srvs.forEach(s -> {
      boolean tried = r.attemptCount == 1 && r.lastServer == s;
      if (s.ready && !tried && inGroup(r, s)) able.add(s);
    });
    double[] weights = able.stream().mapToDouble(this::weight).toArray();
    double all = 0;
    int held = 1;
    for (int i = 0; i < weights.length; i++) {
      all += weights[i];
      held += able.get(i).inFlight;
    }
    ServerState best = null, calm = null;
    for (int i = 0; i < weights.length; i++) {
      ServerState s = able.get(i);
      double part = weights[i] / all;
      s.rotationCredit = Math.max(-CREDIT, Math.min(CREDIT, s.rotationCredit + part));
      // its turn stays: else a cold one would wait for its part and then again
      if (!coldAllows(s)) continue;
      if (best == null || s.rotationCredit > best.rotationCredit) best = s;
      boolean crowded = s.inFlight > CROWD_FREE && s.inFlight > CROWD * held * part;
      if (!crowded && (calm == null || s.rotationCredit > calm.rotationCredit)) calm = s;
    }
    if (calm != null) best = calm;
    if (best != null) best.rotationCredit -= 1;
    return best;
  }

  /** A uniqued req that may have run stays where its repeats are dropped. */
  private static boolean inGroup(RequestState r, ServerState s) {
    if (r.stats.requestClass.retrySafety() != GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY
        || r.possiblyExecutedAt < 0)
      return true;
    if (r.stats.requestClass.keyScope() == GatewaySettings.KeyScope.ZONE)
      return s.zone == r.possiblyExecutedOn.zone;
    return r.stats.requestClass.keyScope() == GatewaySettings.KeyScope.ALL
        || s.keyGroup == r.possiblyExecutedOn.keyGroup;
  }

  private void listed(GatewayEvent.EndpointsUpdated l) {
    if (l.kind() == GatewayEvent.EndpointUpdateKind.FAILED) {
      followAt = now + ROUND + (long) (ROUND * chance.nextDouble());
      return;
    }
    if (l.kind() != GatewayEvent.EndpointUpdateKind.DELTA) srvs.forEach(s -> s.ready = false);
    for (GatewayEvent.Endpoint e : l.endpoints()) {
      ServerState s = srvs.find(e.serverId());
      if (s == null) {
        s = srvs.put(e.serverId(), new ServerState());
        s.id = e.serverId();
        s.decayedAt = now;
        // many nodes with few reqs each must not begin with the same app srvs
        s.rotationCredit = chance.nextDouble();
      } else if (e.startedAtTicks() != s.startedAt) {
        s.completed = s.spentTime = 0;
      }
      boolean fresh = e.startedAtTicks() != s.startedAt;
      s.startedAt = e.startedAtTicks();
      if (fresh && warmth(s) < 1) chill(s);
      s.zone = e.zone();
      s.keyGroup = e.keyGroup();
      s.weight = e.weight();
      s.ready = e.state() == GatewayEvent.EndpointState.READY;
    }
    srvs.forEach(this::forget);
    weighFleet();
    for (int i = 0; i < touched.size(); i++) {
      RequestState r = touched.get(i);
      if (r.nextServer != null && !r.nextServer.ready) again(r, AttemptOutcome.CONNECT_FAILED);
    }
  }

  private void weighFleet() {
    warmSeen = usable = 0;
    srvs.forEach(s -> {
      usable += s.ready ? 1 : 0;
      warmSeen += s.ready ? warmth(s) : 0;
    });
  }

  private void forget(ServerState s) { if (!s.ready && s.inFlight == 0) srvs.release(s.id); }

  // ---- dispatches and how they end

  private void ended(GatewayEvent.AttemptEnded e) {
    RequestState r = reqs.find(e.requestId());
    if (r == null || r.attempt == null || e.attempt() != r.attemptCount - 1) return;
    Attempt d = r.attempt;
    r.attempt = null;
    r.customer.inFlight--;
    learn(r, d, e.outcome());
    touch(r);
    r.finished |= e.requestFinished();
    if (e.outcome() == AttemptOutcome.SUCCEEDED && e.actualUnits() > 0
        && site.counter().reportsActualUnits())
      settle(r, e.actualUnits());
    if (!e.outcome().neverExecuted() && r.possiblyExecutedAt < 0) {
      r.possiblyExecutedAt = d.startedAt;
      r.possiblyExecutedOn = d.server;
    }
    if (!r.finished && r.wantedEnd == RequestEnd.NONE) again(r, e.outcome());
  }

  private double pace(RequestState r) {
    if (r.stats.ticksPerUnit <= 0) return FIRST_PACE * r.stats.requestClass.latencyObjectiveTicks();
    return Math.max(1, r.stats.ticksPerUnit * Math.max(LEAST_UNIT, r.arrival.estimatedUnits()));
  }

  private void learn(RequestState r, Attempt d, AttemptOutcome how) {
    ServerState s = d.server;
    s.inFlight--;
    s.lastResponseAt = now;
    out -= d.abandoned ? 0 : 1;
    s.inverseExpectedSum = s.inFlight == 0 ? 0 : s.inverseExpectedSum - 1 / d.expectedTicks;
    s.elapsedBase = s.inFlight == 0 ? 0 : s.elapsedBase - d.countedFrom / d.expectedTicks;
    fade(s);
    double spent = now - d.countedFrom;
    if (how == AttemptOutcome.SUCCEEDED) {
      passed++;
      s.completed++;
      double unit = spent / Math.max(LEAST_UNIT, r.arrival.estimatedUnits());
      r.stats.ticksPerUnit += (r.stats.ticksPerUnit <= 0 ? 1 : LEARN)
          * (unit - r.stats.ticksPerUnit);
    }
    r.stats.recentAttemptTicks += RECENT * (spent - r.stats.recentAttemptTicks);
    boolean time = how == AttemptOutcome.SUCCEEDED || how == AttemptOutcome.CANCELLED
        || how == AttemptOutcome.TIMED_OUT;
    s.spentTime += time ? spent / d.expectedTicks
        : how == AttemptOutcome.NOT_SENT || how == AttemptOutcome.WITHDRAWN ? 0 : FAULT;
    forget(s);
  }

  /**
   * Nothing is out any more, no answer has come: another dispatch where the frontend allows, or the
   * end.
   */
  private void again(RequestState r, AttemptOutcome how) {
    GatewaySettings.RequestClass f = r.stats.requestClass;
    boolean harmless = r.possiblyExecutedAt < 0
        || f.retrySafety() == GatewaySettings.RetrySafety.IDEMPOTENT || remembers(r);
    harmless &= !r.streaming && now < r.deadline && how != AttemptOutcome.NOT_SENT;
    r.nextServer = harmless && r.attemptCount < rules.maxAttempts() ? choose(r) : null;
    if (r.nextServer == null) finish(r, RequestEnd.REJECTED, rules.maxRetryAfterTicks());
  }

  /**
   * Uniqued, and its first dispatch that may have run is still known where a further one comes now.
   */
  private boolean remembers(RequestState r) {
    GatewaySettings.RequestClass f = r.stats.requestClass;
    return f.retrySafety() == GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY
        && now + WAY < r.possiblyExecutedAt + f.keyTtlTicks();
  }

  // Guards against a connection that comes up when what allowed its dispatch is past: the client
  // gone, the app srv told to drain or replaced, the repeat window over.
  @Override
  public boolean mayStartAttempt(long at, long rid, int dispatch) {
    now = Math.max(now, at);
    RequestState r = reqs.find(rid);
    if (r == null || r.finished || r.attempt == null || dispatch != r.attemptCount - 1
        || now >= r.deadline)
      return false;
    ServerState s = r.attempt.server;
    return s.ready && s.startedAt == r.attempt.serverStartedAt
        && (r.possiblyExecutedAt < 0
            || r.stats.requestClass.retrySafety() == GatewaySettings.RetrySafety.IDEMPOTENT
            || remembers(r));
  }

  /** Wants the final answer; a denial becomes an abort where it could do harm. */
  private void finish(RequestState r, RequestEnd end, long pause) {
    GatewaySettings.RequestClass f = r.stats.requestClass;
    boolean harmless = r.possiblyExecutedAt < 0 && r.attempt == null
        || f.retrySafety() == GatewaySettings.RetrySafety.IDEMPOTENT
        || f.retrySafety() == GatewaySettings.RetrySafety.IDEMPOTENT_BY_KEY
            && f.keyScope() == GatewaySettings.KeyScope.ALL;
    if (r.admitted && r.attemptCount == 0 && r.window != null) { // charged, never sent
      r.window.uncarriedUnits -= r.reservedUnits;
      quotas.recordAdmitted(r.window, -r.reservedUnits);
    }
    r.wantedEnd = end == RequestEnd.REJECTED && !harmless ? RequestEnd.FAILED : end;
    r.retryAfterTicks = rules.maySendRetryAfter()
        ? Math.min(rules.maxRetryAfterTicks(), Math.max(0, pause)) : 0;
    touch(r);
  }

  private void due(GatewayEvent.TimerFired d) {
    RequestState r = reqs.find(d.timerId());
    if (d.timerId() < 0) round();
    else if (r != null && !r.finished && !r.streaming)
      finish(r, r.attemptCount == 0 ? RequestEnd.REJECTED : RequestEnd.FAILED, 0);
  }

  // ---- pressure and housekeeping

  // Guards against queues that outlast the response target (overload, dead or slowed app srvs,
  // retry storms): by Little's law what is out over what passes a second is how long a dispatch
  // takes now. Beyond the part of the target allowed (of what its client still waits, if less) a
  // req is denied at once, cheap ones sooner. Harms where app srvs answer in bursts.
  private boolean pressed(RequestState r) {
    double value = r.customer.plan.priorityWeight() * r.stats.requestClass.priorityWeight();
    meanValue += (meanValue == 0 ? 1 : VALUE_STEP) * (value - meanValue);
    double tilt = meanValue <= 0 ? 0 : Math.max(-1, Math.min(1, (value - meanValue) / meanValue));
    double part = WAIT_PART * (r.lateRetry ? 1 - KEPT_BACK : 1) * (1 + VALUE_TILT * tilt);
    double free = FREE_OUT * warmSeen / nodes();
    double wait = part * Math.min(r.stats.requestClass.latencyObjectiveTicks(), r.deadline - now);
    double chances = Math.min(CHANCE_OUT, CHANCE_ALL * warmSeen / nodes());
    double headroom = chances * Math.max(0, 1 - r.stats.recentAttemptTicks / (LONG_WAIT * wait));
    return out >= Math.max(free, wait * passed / RATE_TIME) + headroom;
  }

  private void round() {
    roundAt = now + ROUND;
    passed *= Math.exp(-ROUND / RATE_TIME);
    double kept = Math.exp(-ROUND / Math.max(1.0, rules.warmUpWindowTicks()));
    unitsSent *= kept;
    unitsAsked *= kept;
    weighFleet();
    memory = Math.max(MEMORY, Math.min(AGEING, TURNS * warmSeen * RATE_TIME / Math.max(1, passed)));
    reqs.forEach(r -> {
      // Guards against dispatches stuck on bad app srvs, or whose answers got lost on the way,
      // taking up what may be out and denying the rest. Harms where one long req makes an app srv
      // look silent.
      Attempt d = r.attempt;
      if (d == null || d.abandoned || r.streaming
          || now - d.countedFrom <= STUCK * r.stats.requestClass.latencyObjectiveTicks())
        return;
      if (slowness(d.server) < SICK && quiet(d.server) < DEAD) return;
      d.abandoned = true;
      out--;
    });
    if (gap > 0) gossip.counterUnhealthy(now);
    gossip.dueMessages(now).forEach(to::sendGossip);
    quotas.releaseWindowsIf(w -> {
      if (w.uncarriedUnits != 0 && now < w.endsAt + longest && counterIsWell()) call(w, null, 0);
      return now > w.endsAt + longest && w.calls.isEmpty();
    });
    quotas.releaseIdleCustomers();
  }

  // ---- from the wanted to the present

  private RequestState touch(RequestState r) {
    if (!r.changed) touched.add(r);
    r.changed = true;
    return r;
  }

  /** Emits the difference between what is wanted and what is. */
  private void bring() {
    if (rules.mustOpenWatch() && now >= followAt) {
      followAt = Long.MAX_VALUE;
      to.watchEndpoints(true);
    }
    if (roundSet != roundAt) to.setTimer(roundAt, -1);
    roundSet = roundAt;
    for (RequestState r : touched) {
      long rid = r.arrival.requestId();
      r.changed = false;
      if (!r.finished && r.wantedEnd == RequestEnd.REJECTED) to.reject(rid, r.retryAfterTicks);
      if (!r.finished && r.wantedEnd == RequestEnd.FAILED) to.fail(rid);
      r.finished |= r.wantedEnd != RequestEnd.NONE;
      if (!r.finished && r.nextServer != null) dispatch(r);
      r.nextServer = null;
      if (r.attempt != null && r.finished && !r.streaming && !r.attempt.cancelled
          && rules.mayCancelAttempts()) {
        r.attempt.cancelled = true;
        to.cancelAttempt(rid, r.attemptCount - 1);
      }
      if (!r.finished && !r.deadlineTimerSet) to.setTimer(r.deadline, rid);
      r.deadlineTimerSet = true;
      if (r.finished && r.attempt == null && !r.awaitingCounter) reqs.release(rid);
    }
    touched.clear();
    for (CounterCall c : wantCalls) {
      long keep = Math.min(LONGEST_KEPT, Math.max(1, c.window().endsAt - now + longest));
      // Guards against a busy counter whose answers all come a little late and are thrown away:
      // they are waited for, as far as response targets leave time. Harms while it is silent: its
      // test calls hold their reqs.
      to.addToCounter(c.window().counterName, c.units(), keep, countWait);
    }
    wantCalls.clear();
  }

  private void dispatch(RequestState r) {
    Attempt d = new Attempt();
    d.server = r.nextServer;
    d.startedAt = d.countedFrom = now;
    d.expectedTicks = pace(r);
    r.attempt = d;
    r.lastServer = d.server;
    r.attemptCount++;
    r.customer.inFlight++;
    if (d.server.inFlight++ == 0) d.server.lastResponseAt = now;
    out++;
    d.server.inverseExpectedSum += 1 / d.expectedTicks;
    d.server.elapsedBase += now / d.expectedTicks;
    unitsSent += r.arrival.estimatedUnits();
    d.serverStartedAt = d.server.startedAt;
    d.server.warmUpBudgetLeft -= r.arrival.estimatedUnits();
    to.startAttempt(r.arrival.requestId(), d.server.id, r.deadline - now);
  }
}
