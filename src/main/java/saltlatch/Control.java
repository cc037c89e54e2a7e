package saltlatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.api.Actions;
import saltlatch.api.Event;
import saltlatch.api.Event.Outcome;
import saltlatch.api.Gateway;
import saltlatch.api.Index;
import saltlatch.api.Site;

/**
 * The decision module: every decision of an edge node. A host makes one Control for each instance with what
 * is read at start ({@link Site}) and calls {@link #handle} with the events of one instant; what it wants done
 * comes out through {@link Actions}. The interface stands in saltlatch.api. Event handlers only change what is
 * wanted of a req (its next app srv, its end, its wake-up, dispatches given up) and of the instance (count
 * calls); {@link #bring} alone works out the difference to what is and emits it.
 */
public final class Control implements Gateway {
    // Times in tenths of a ms. The design's own terms: reservation, hold cost, overrun cost, settle.
    private static final double HOLD_COST = 1; // loss a unit reserved too much; the design's start value
    private static final double OVERRUN_COST = 3; // loss a unit reserved too little; the design's start value
    private static final long AGEING = 600_000; // a minute unseen drops a learner, as the design says
    private static final long LONGEST_KEPT = 600_000; // the longest time a counter keeps a name: 60 s
    private static final long ROUND = 1_000; // housekeeping every 100 ms: fine beside seconds-long troubles
    private static final long MEMORY = 40_000; // 4 s: an app srv's record fades; tens of dispatches, yet fresh
    private static final double PRIOR = 3; // dispatches at fleet speed assumed of every app srv, steadies the few
    private static final double FAULT = 8; // mean dispatch times that a failed dispatch counts as lost time
    private static final double LEARN = 0.02; // step of the mean time a unit takes: about 50 dispatches
    private static final double CROWD = 2.0; // times its fair part of what is out that an app srv may hold
    private static final double CROWD_FREE = 2; // dispatches out that never make an app srv crowded
    private static final double COLD_USE = 0.5; // part of the cold budget used: the guide and the chance are rough
    private static final int MISSES = 2; // count calls in a row without answer before the counter is taken as bad
    private static final double GAP_FIRST = 100; // 10 ms between calls to a bad counter at first
    private static final double GAP_UP = 1.5; // the gap grows by this, once a round, while answers are missing
    private static final double GAP_MOST = 2_000; // 200 ms: five tests a second find its return, load nothing
    private static final double GAP_FADE = 3_300; // 0.33 s: time constant of the gap while answers are prompt
    private static final double SLOW_ANSWER = 0.6; // part of the call limit past which an answer is not prompt
    private static final double REFILLED = 0.9; // part of the burst at which a spent quota counts as filled again
    private static final double SHARE_STEP = 0.1; // step of the learned share of a customer's use: ten answers
    private static final double HEDGE_AFTER = 3.5; // mean times out before a second copy; past the usual tail
    private static final double HEDGE_PART = 0.06; // second copies a req, bounds the waste they can cause
    private static final double HEDGE_STORE = 3; // second copies saved up at most
    private static final long RATE_TIME = 10_000; // 1 s: over this the rate of passed dispatches is taken
    private static final double WAIT_PART = 0.3; // part of the response target that dispatches may take on average
    private static final double FREE_OUT = 4; // dispatches out of all nodes for each warm app srv that are no pressure
    private static final double KEPT_BACK = 0.5; // part of a burst, or of the wait allowed, kept from further tries
    private static final double VALUE_TILT = 0.3; // how much a req's value stretches that part
    private static final double SPREAD_BACK = 0.5; // part of a window over which come-back advice is spread
    private static final long TICKS_SPARE = 2; // ticks before the client timeout that a final answer goes out

    private enum End { NONE, DENIED, ABORTED }

    /** Lives for one dispatch. */
    private static final class Dispatch {
        Srv srv;
        long sent;
        double pace; // expected dispatch time
        boolean out = true;
        boolean givenUp; // wanted: no longer out
        boolean cancelled;
    }

    /** Lives for one req. */
    private static final class Req {
        Event.Arrived told;
        Customer customer;
        long end; // the final answer goes out by then
        Window window; // charged there; null where nothing was charged
        double reserved;
        double charged; // of it, what its count call added
        boolean counting; // its count call is out
        boolean admitted;
        boolean again; // a client's further try, as marked or as its shorter wait tells
        boolean streaming;
        long ranSince = -1; // sending of the first dispatch that may have run
        Srv ranOn;
        final List<Dispatch> sent = new ArrayList<>(2);
        Srv next; // wanted: a dispatch there
        End wantEnd = End.NONE; // wanted: its final answer
        long pause;
        long wake = Long.MAX_VALUE; // wanted: looked at again by then
        long waking = Long.MAX_VALUE;
        boolean over;
        boolean touched;

        int out() {
            int n = 0;
            for (Dispatch d : sent) {
                n += d.out ? 1 : 0;
            }
            return n;
        }
    }

    /** Lives for one app srv. */
    private static final class Srv {
        long id;
        long since;
        int zone;
        int cell;
        double rating;
        boolean usable;
        int out;
        double paceSum; // sum of 1/pace of what is out
        double paceBase; // sum of sent/pace of what is out
        double done; // fading number of dispatches managed
        double busy; // fading time they took, in mean dispatch times
        long fadedAt;
        double credit; // its place in the rotation
        final ArrayDeque<double[]> coldSent = new ArrayDeque<>();
    }

    /** One customer's count for one window. */
    private static final class Window {
        long name;
        long turn;
        double mine; // net units of this node answered for
        double owed; // units charged or given back that no call has carried yet
        Customer customer;
        double top; // last total known, with what was lost
        double lost; // units that the counter forgot, by what this node knows
        final ArrayDeque<Call> calls = new ArrayDeque<>();
    }

    private record Call(Req req, double units) {}

    /** One learned reservation. */
    private static final class Learner {
        double guess;
        long steps;
    }

    private static final class Customer {
        long id;
        Site.Plan plan;
        Window window;
        long seen;
        int out;
        int width;
        double share; // learned part of its use that comes through this node
        double room; // units its quota has left, as the totals seen show it; the share of it while alone
        long roomAt;
        boolean alone; // decided without the counter
        boolean spent; // a window's count reached the limit and the quota has not filled again since
        double store; // hard ceiling, this node's part
        long storeAt;
        Learner[] learners;
    }

    // Lives for the instance.
    private final Site site;
    private final Site.Rules rules;
    private final Actions to;
    private final SplittableRandom chance;
    private final long started;
    private final long longest;
    private final Index<Req> reqs = new Index<>();
    private final Index<Srv> srvs = new Index<>();
    private final Index<Customer> customers = new Index<>();
    private final Index<Window> windows = new Index<>();
    private final List<Req> touched = new ArrayList<>();
    private final List<Window> wantCalls = new ArrayList<>();
    private final List<Call> wantCallsOf = new ArrayList<>();
    private final long[] mostLeft; // longest wait a client's try has come with, by frontend
    private final double[] unitTime; // mean time a unit takes, by frontend
    private long now;
    private int misses;
    private double gap; // between count calls; 0: the counter is well
    private long nextCall;
    private long nextGap;
    private double hedges = HEDGE_STORE;
    private double passed; // fading number of passed dispatches
    private int out;
    private double meanValue;
    private double unitsSent; // fading units sent in one cold window
    private double warmSeen;
    private long fadedAt;
    private boolean following;
    private long followAt;

    public Control(long now, Site site, Actions to) {
        this.now = now;
        this.site = site;
        this.to = to;
        rules = site.rules();
        chance = new SplittableRandom(site.seed());
        started = now;
        fadedAt = now;
        unitTime = new double[site.frontends().size()];
        mostLeft = new long[unitTime.length];
        long most = 0;
        for (Site.Frontend f : site.frontends()) {
            most = Math.max(most, f.clientTimeout());
        }
        longest = most;
        to.wake(now + ROUND, -1);
    }

    @Override
    public void handle(long at, List<Event> events) {
        now = at;
        for (Event e : events) {
            if (e instanceof Event.Arrived a) {
                arrived(a);
            } else if (e instanceof Event.Ended d) {
                ended(d);
            } else if (e instanceof Event.Counted c) {
                counted(c);
            } else if (e instanceof Event.Due d) {
                due(d);
            } else if (e instanceof Event.Listed l) {
                listed(l);
            } else if (e instanceof Event.Begun b) {
                begun(b);
            } else if (e instanceof Event.ClientLeft c) {
                clientLeft(c);
            }
        }
        if (rules.mustFollow() && !following && now >= followAt) {
            following = true;
            followAt = now + 10 * ROUND;
            to.follow(true);
        }
        bring();
    }

    // ---- arriving and counting

    private void arrived(Event.Arrived a) {
        Req r = reqs.put(a.rid(), new Req());
        r.told = a;
        r.end = now + a.left() - TICKS_SPARE * site.tick();
        r.wake = r.end;
        mostLeft[a.frontend()] = Math.max(mostLeft[a.frontend()], a.left());
        r.again = a.repeat() || a.left() < mostLeft[a.frontend()] - ROUND / 10;
        r.customer = customer(a);
        touch(r);
        Site.Plan plan = r.customer.plan;
        if (a.left() <= TICKS_SPARE * site.tick()) {
            finish(r, End.DENIED, 0);
            return;
        }
        if (plan.rate() <= 0) {
            decide(r, true);
            return;
        }
        r.reserved = site.counting().unitsAfter() ? learner(r).guess : a.units();
        r.window = window(r.customer);
        if (!site.counting().open()) {
            decide(r, hasLocalRoom(r));
        } else if (gap == 0) {
            // Once its window is spent and no room is known, a req only reads: adds that are sure to be given
            // back would make the customer look fuller to the other nodes than it is.
            fill(r.customer);
            r.charged = r.customer.spent && r.customer.room < r.reserved ? 0 : r.reserved;
            r.counting = true;
            call(r.window, r, r.charged + takeOwed(r.window));
        } else {
            // Guards against a counter that is silent, refusing, full or slow: the req is decided on this
            // node's share at once and only every gap'th call goes out, carrying what is owed for the customer.
            // Covers any cause of missing answers; harms where a single call in a row is lost by chance.
            boolean pass = hasLocalRoom(r);
            decide(r, pass);
            if (r.admitted) {
                r.window.owed += r.reserved;
            }
            if (now >= nextCall) {
                nextCall = now + (long) gap;
                call(r.window, null, takeOwed(r.window));
            }
        }
    }

    private double takeOwed(Window w) {
        double owed = w.owed;
        w.owed = 0;
        return owed;
    }

    /** Without the counter a customer has this node's learned share of its quota. */
    private boolean hasLocalRoom(Req r) {
        Customer c = r.customer;
        fill(c);
        if (!c.alone) {
            c.room *= c.room > 0 ? c.share : 1;
            c.alone = true;
        }
        return c.room > keptBack(r) * (c.room > 0 ? c.share : 1);
    }

    /**
     * Guards against client tries that come back after a denial and take room from first tries: what they ask is
     * mostly past its response target by then. They pass only while plenty is left. Harms prompt second tries.
     */
    private double keptBack(Req r) {
        return r.again && r.customer.spent ? KEPT_BACK * r.customer.plan.burst() : 0;
    }

    private void fill(Customer c) {
        double part = c.alone ? c.share : 1;
        double filled = (now - c.roomAt) * c.plan.rate() / 10_000 * part;
        c.room = Math.min(c.plan.burst() * part, c.room + filled);
        c.roomAt = now;
        c.spent &= c.room < REFILLED * c.plan.burst() * part;
    }

    private void counted(Event.Counted c) {
        Window w = windows.find(c.name());
        if (w == null || w.calls.isEmpty()) {
            return;
        }
        Call call = w.calls.poll();
        Req r = call.req();
        Customer customer = w.customer;
        boolean answered = c.how() == Outcome.PASSED;
        boolean asked = r != null && r.counting;
        judgeCounter(answered, c.spent());
        if (!answered) {
            // A timed-out add may have counted: it is taken as counted. Refused ones are owed again.
            double rest = call.units() - (asked ? r.charged : 0);
            if (c.how() != Outcome.LATE) {
                w.owed += rest;
            }
            if (asked) {
                r.counting = false;
                decide(r, hasLocalRoom(r));
                w.owed += (r.admitted ? r.reserved : 0) - (c.how() == Outcome.LATE ? r.charged : 0);
            }
            return;
        }
        if (customer.alone) {
            customer.alone = false;
            customer.room /= customer.room > 0 ? customer.share : 1;
        }
        fill(customer);
        w.mine += call.units();
        if (c.total() + 0.01 < w.mine) {
            // Guards against lost counts (a flush, a counter back empty): the total is below what this node
            // alone was answered for, so the known floor stands in for the rest of this window.
            w.lost = Math.max(w.top + call.units(), w.mine) - c.total();
            w.mine = c.total();
        }
        double total = c.total() + w.lost;
        customer.room = Math.max(-customer.plan.burst(), customer.room - (total - w.top - call.units()));
        w.top = total;
        if (total > customer.plan.burst() / 4) {
            double part = Math.min(1, Math.max(0.5 / customer.width, w.mine / total));
            customer.share += SHARE_STEP * (part - customer.share);
        }
        if (asked) {
            r.counting = false;
            boolean below = total - r.charged < customer.plan.burst();
            customer.spent |= !below;
            // Guards against windows that differ from the quota's store: a heavy customer would spend each window
            // at its start, stand denied with room, and find a whole burst again at the turn.
            decide(r, customer.spent ? customer.room >= r.reserved + keptBack(r) : below);
            double rest = (r.admitted ? r.reserved : 0) - r.charged;
            if (rest != 0) {
                call(w, null, rest);
            }
        }
    }

    private void judgeCounter(boolean answered, long spent) {
        if (!answered) {
            misses++;
            if ((misses >= MISSES || gap > 0) && now >= nextGap) {
                nextGap = now + ROUND;
                gap = Math.min(GAP_MOST, Math.max(GAP_FIRST, gap * GAP_UP));
            }
        } else if (spent < SLOW_ANSWER * site.counting().limit()) {
            misses = 0;
            gap *= 1 - Math.min(0.3, gap / GAP_FADE);
            gap = gap < site.tick() ? 0 : gap;
        }
    }

    private void call(Window w, Req r, double units) {
        Call c = new Call(r, units);
        w.calls.add(c);
        wantCalls.add(w);
        wantCallsOf.add(c);
    }

    /** Ends the question of admission; what was charged for a denied req is given back by the caller. */
    private void decide(Req r, boolean room) {
        if (r.over || r.wantEnd != End.NONE) {
            return;
        }
        touch(r);
        Customer c = r.customer;
        long back = r.window == null ? ROUND : r.window.turn - now;
        double spread = r.window == null ? ROUND : SPREAD_BACK * windowLength(c.plan);
        if (!room) {
            finish(r, End.DENIED, back + (long) (spread * chance.nextDouble()));
        } else if (c.plan.parallel() > 0
                && c.out >= Math.max(1, Math.ceil(c.plan.parallel() * Math.max(c.share, 1.0 / c.width)))
                || !ceilingAllows(c, r.told.units())) {
            finish(r, End.DENIED, ROUND + (long) (ROUND * chance.nextDouble()));
        } else if (pressed(r)) {
            finish(r, End.DENIED, rules.longestPause());
        } else {
            r.next = choose(r);
            if (r.next == null) {
                finish(r, End.DENIED, ROUND + (long) (ROUND * chance.nextDouble()));
                return;
            }
            r.admitted = true;
            c.room -= r.reserved;
            if (c.plan.ceilingRate() > 0) {
                c.store -= r.told.units();
            }
        }
    }

    // ---- what is known of a customer

    private Customer customer(Event.Arrived a) {
        Customer c = customers.find(a.customer());
        if (c == null) {
            c = customers.put(a.customer(), new Customer());
            c.id = a.customer();
            c.plan = site.plans().get(a.plan());
            c.storeAt = started; // the hard ceiling's part is empty at the start of the instance
            c.learners = new Learner[site.frontends().size()];
            c.width = width(a);
            c.share = 1.0 / c.width;
            c.room = c.plan.burst();
            c.roomAt = now;
        }
        c.width = Math.max(c.width, width(a));
        c.seen = now;
        return c;
    }

    private int width(Event.Arrived a) {
        return a.width() > 0 ? a.width() : Math.max(1, site.nodes());
    }

    private static long windowLength(Site.Plan plan) {
        return Math.max(1, (long) (plan.burst() / plan.rate() * 10_000));
    }

    private Window window(Customer c) {
        long length = windowLength(c.plan);
        long number = now / length;
        if (c.window == null || c.window.turn != (number + 1) * length) {
            Window w = new Window();
            w.customer = c;
            w.name = (c.id << 31) ^ (number & 0x7fffffffL);
            w.turn = (number + 1) * length;
            c.window = windows.put(w.name, w);
        }
        return c.window;
    }

    /** The ceiling's part of this node: rate and amount over the customer's nodes, empty at start. */
    private boolean ceilingAllows(Customer c, double units) {
        Site.Plan plan = c.plan;
        if (plan.ceilingRate() <= 0) {
            return true;
        }
        double filled = (now - c.storeAt) * plan.ceilingRate() / 10_000 / c.width;
        c.store = Math.min(plan.ceilingBurst() / c.width, c.store + filled);
        c.storeAt = now;
        return units <= c.store;
    }

    private Learner learner(Req r) {
        Learner[] all = r.customer.learners;
        if (all[r.told.frontend()] == null) {
            all[r.told.frontend()] = new Learner();
            all[r.told.frontend()].guess = Math.min(r.told.units(), r.customer.plan.burst());
        }
        return all[r.told.frontend()];
    }

    private void settle(Req r, double actual) {
        Learner l = learner(r);
        double range = r.customer.plan.burst();
        double slope = l.guess > actual ? HOLD_COST : l.guess < actual ? -OVERRUN_COST : 0;
        double step = range / Math.max(HOLD_COST, OVERRUN_COST) / Math.sqrt(++l.steps);
        l.guess = Math.max(0, Math.min(range, l.guess - step * slope));
        if (r.window != null && actual != r.reserved) {
            r.customer.room -= actual - r.reserved;
            if (site.counting().open() && gap == 0) {
                call(r.window, null, actual - r.reserved);
            } else {
                r.window.owed += actual - r.reserved;
            }
        }
    }

    // ---- app srvs

    /** Mean dispatch times one dispatch takes there, counting what is out as unfinished time. */
    private double slowness(Srv s) {
        fade(s);
        double age = Math.max(0, now * s.paceSum - s.paceBase);
        return (s.busy + age + PRIOR) / (s.done + PRIOR);
    }

    private void fade(Srv s) {
        if (now > s.fadedAt) {
            double keep = Math.exp(-(now - s.fadedAt) / (double) MEMORY);
            s.done *= keep;
            s.busy *= keep;
            s.fadedAt = now;
        }
    }

    private double warmth(Srv s) {
        long age = now - s.since;
        if (s.since <= 0 || rules.cold() <= 0 || age >= rules.cold()) {
            return 1;
        }
        return rules.coldFrom() + (1 - rules.coldFrom()) * Math.max(0, age) / rules.cold();
    }

    private double weight(Srv s) {
        double slow = slowness(s);
        return Math.max(0.01, s.rating) * warmth(s) / (slow * slow);
    }

    /** A cold app srv takes, in each window of the rule, a part of what warm ones get times the multiple. */
    private boolean coldAllows(Srv s, double units) {
        double warm = warmth(s);
        if (warm >= 1) {
            return true;
        }
        double sum = 0;
        while (!s.coldSent.isEmpty() && s.coldSent.peek()[0] <= now - rules.fallTime()) {
            s.coldSent.poll();
        }
        for (double[] one : s.coldSent) {
            sum += one[1];
        }
        double budget = COLD_USE * rules.fallMultiple() * warm * unitsSent / Math.max(1, warmSeen);
        return sum == 0 || sum + units <= budget;
    }

    /** The weighted rotation: each gains its weight, the richest gets the turn and pays the whole. */
    private Srv choose(Req r) {
        List<Srv> able = new ArrayList<>();
        List<Double> weights = new ArrayList<>();
        double[] all = {0, 0, 0};
        Site.Frontend f = site.frontends().get(r.told.frontend());
        srvs.each(s -> {
            if (!s.usable || f.effect() == Site.Effect.UNIQUED && !inGroup(r, s, f.group())) {
                return;
            }
            for (Dispatch d : r.sent) {
                if (d.srv == s && (r.sent.size() < 2 || d.out)) {
                    return;
                }
            }
            if (coldAllows(s, r.told.units())) {
                double w = weight(s);
                able.add(s);
                weights.add(w);
                all[0] += w;
                all[1] += s.out;
            }
        });
        Srv best = null;
        Srv calm = null;
        for (int i = 0; i < able.size(); i++) {
            Srv s = able.get(i);
            double w = weights.get(i);
            s.credit = Math.max(-2, Math.min(2, s.credit + w / all[0]));
            best = best == null || s.credit > best.credit ? s : best;
            boolean crowded = s.out > CROWD_FREE && s.out > CROWD * (all[1] + 1) * w / all[0];
            if (!crowded && (calm == null || s.credit > calm.credit)) {
                calm = s;
            }
        }
        best = calm == null ? best : calm;
        if (best != null) {
            best.credit -= 1;
        }
        return best;
    }

    private static boolean inGroup(Req r, Srv s, Site.Group group) {
        return r.ranSince < 0 || group == Site.Group.ALL
                || (group == Site.Group.ZONE ? s.zone == r.ranOn.zone : s.cell == r.ranOn.cell);
    }

    private void listed(Event.Listed l) {
        if (l.kind() == Event.ListKind.FAILED) {
            following = false;
            followAt = now + ROUND + (long) (ROUND * chance.nextDouble());
            return;
        }
        if (l.kind() != Event.ListKind.CHANGES) {
            srvs.each(s -> s.usable = false);
        }
        for (Event.Entry e : l.entries()) {
            Srv s = srvs.find(e.srv());
            if (s == null) {
                if (e.condition() == Event.Condition.GONE) {
                    continue;
                }
                s = srvs.put(e.srv(), new Srv());
                s.id = e.srv();
                s.fadedAt = now;
            }
            if (e.since() != s.since) {
                s.done = 0;
                s.busy = 0;
                s.coldSent.clear();
            }
            s.since = e.since();
            s.zone = e.zone();
            s.cell = e.cell();
            s.rating = e.rating();
            s.usable = e.condition() == Event.Condition.READY;
        }
        srvs.each(s -> {
            if (!s.usable && s.out == 0) {
                srvs.release(s.id);
            }
        });
        weighFleet();
        reqs.each(r -> {
            if (r.next != null && !r.next.usable) {
                r.next = choose(r);
            }
        });
    }

    // ---- dispatches and how they end

    private double pace(Req r) {
        double unit = unitTime[r.told.frontend()];
        double target = site.frontends().get(r.told.frontend()).target();
        return unit <= 0 ? target / 4 : Math.max(1, unit * Math.max(0.1, r.told.units()));
    }

    private void ended(Event.Ended e) {
        Req r = reqs.find(e.rid());
        if (r == null || e.dispatch() >= r.sent.size() || !r.sent.get(e.dispatch()).out) {
            return;
        }
        Dispatch d = r.sent.get(e.dispatch());
        d.out = false;
        r.customer.out--;
        learn(r, d, e);
        touch(r);
        if (e.over()) {
            r.over = true;
        }
        if (e.how() == Outcome.PASSED && e.actual() > 0 && site.counting().unitsAfter()) {
            settle(r, e.actual());
        }
        if (!e.how().neverRan() && r.ranSince < 0) {
            r.ranSince = d.sent;
            r.ranOn = d.srv;
        }
        if (!r.over && r.wantEnd == End.NONE && r.out() == 0) {
            again(r, e.how());
        }
    }

    private void learn(Req r, Dispatch d, Event.Ended e) {
        Srv s = d.srv;
        s.out--;
        out--;
        s.paceSum = s.out == 0 ? 0 : s.paceSum - 1 / d.pace;
        s.paceBase = s.out == 0 ? 0 : s.paceBase - d.sent / d.pace;
        fade(s);
        double spent = now - d.sent;
        if (e.how() == Outcome.PASSED) {
            passed++;
            s.done++;
            s.busy += spent / d.pace;
            double unit = spent / Math.max(0.1, r.told.units());
            double known = unitTime[r.told.frontend()];
            unitTime[r.told.frontend()] = known <= 0 ? unit : known + LEARN * (unit - known);
        } else if (e.how() == Outcome.CANCELLED || e.how() == Outcome.LATE) {
            s.busy += spent / d.pace;
        } else if (e.how() != Outcome.NOT_SENT) {
            s.busy += FAULT;
        }
        if (!s.usable && s.out == 0) {
            srvs.release(s.id);
        }
    }

    /** Nothing is out any more and no answer has come: another dispatch where the frontend allows, or the end. */
    private void again(Req r, Outcome how) {
        Site.Frontend f = site.frontends().get(r.told.frontend());
        boolean remembered = r.ranSince < 0 || now + site.tick() < r.ranSince + f.remembered();
        boolean allowed = r.sent.size() < rules.sendCap() && now < r.end && how != Outcome.NOT_SENT && !r.streaming
                && (f.effect() == Site.Effect.REPLAYABLE || r.ranSince < 0
                        || f.effect() == Site.Effect.UNIQUED && remembered);
        r.next = allowed ? choose(r) : null;
        if (r.next == null) {
            finish(r, End.DENIED, rules.longestPause());
        }
    }

    /** Wants the final answer; a denial becomes an abort where it could do harm. */
    private void finish(Req r, End end, long pause) {
        boolean mayRun = r.ranSince >= 0 || r.out() > 0;
        Site.Frontend f = site.frontends().get(r.told.frontend());
        boolean harmless = !mayRun || f.effect() == Site.Effect.REPLAYABLE
                || f.effect() == Site.Effect.UNIQUED && f.group() == Site.Group.ALL;
        r.wantEnd = end == End.DENIED && !harmless ? End.ABORTED : end;
        r.pause = rules.mayAdvise() ? Math.min(rules.longestPause(), Math.max(0, pause)) : 0;
        touch(r);
    }

    private void begun(Event.Begun b) {
        Req r = reqs.find(b.rid());
        if (r != null) {
            r.streaming = true;
            for (int i = 0; i < r.sent.size(); i++) {
                r.sent.get(i).givenUp = i != b.dispatch();
            }
            touch(r);
        }
    }

    private void clientLeft(Event.ClientLeft c) {
        Req r = reqs.find(c.rid());
        if (r != null) {
            r.over = true;
            touch(r);
        }
    }

    private void due(Event.Due d) {
        if (d.handle() < 0) {
            round();
            to.wake(now + ROUND, -1);
            return;
        }
        Req r = reqs.find(d.handle());
        if (r == null || r.over || r.streaming) {
            return;
        }
        r.waking = Long.MAX_VALUE;
        r.wake = r.end;
        touch(r);
        if (now >= r.end) {
            finish(r, r.sent.isEmpty() ? End.DENIED : End.ABORTED, 0);
        } else if (r.out() == 1 && rules.secondCopies() && r.sent.size() < rules.sendCap() && hedges >= 1
                && site.frontends().get(r.told.frontend()).effect() == Site.Effect.REPLAYABLE) {
            hedges--;
            r.next = choose(r);
        }
    }

    // ---- pressure and housekeeping

    /**
     * Guards against queues that outlast the response target (overload, dead or slowed app srvs, retry storms):
     * by Little's law what is out over what passes a second is how long a dispatch takes now. Beyond the allowed
     * part of the target a req is denied at once, cheap ones sooner. Harms where app srvs answer in bursts.
     */
    private boolean pressed(Req r) {
        Site.Frontend f = site.frontends().get(r.told.frontend());
        double value = r.customer.plan.price() * f.value();
        meanValue += (meanValue == 0 ? 1 : 0.01) * (value - meanValue);
        double tilt = Math.max(-1, Math.min(1, (value - meanValue) / Math.max(1e-9, meanValue)));
        double allowed = WAIT_PART * (r.again ? KEPT_BACK : 1) * (1 + VALUE_TILT * tilt) * f.target() * passed / RATE_TIME;
        return out >= Math.max(FREE_OUT * warmSeen / Math.max(1, site.nodes()), allowed);
    }

    private void round() {
        passed *= Math.exp(-ROUND / (double) RATE_TIME);
        double keep = rules.fallTime() <= 0 ? 0 : Math.exp(-(now - fadedAt) / (double) rules.fallTime());
        unitsSent *= keep;
        fadedAt = now;
        weighFleet();
        windows.each(w -> {
            if (w.owed != 0 && gap == 0 && now < w.turn + longest && site.counting().open()) {
                call(w, null, takeOwed(w));
            }
            if (now > w.turn + longest && w.calls.isEmpty()) {
                windows.release(w.name);
            }
        });
        customers.each(c -> {
            boolean ceiling = c.plan.ceilingRate() > 0 && !(ceilingAllows(c, 0) && full(c));
            if (now - c.seen > AGEING && c.out == 0 && !ceiling) {
                customers.release(c.id);
            }
        });
    }

    private void weighFleet() {
        double[] warm = {0};
        srvs.each(s -> warm[0] += s.usable ? warmth(s) : 0);
        warmSeen = warm[0];
    }

    private boolean full(Customer c) {
        return c.store >= c.plan.ceilingBurst() / c.width;
    }

    // ---- from the wanted to the present

    private void touch(Req r) {
        if (!r.touched) {
            r.touched = true;
            touched.add(r);
        }
    }

    /** Emits the difference between what is wanted and what is. */
    private void bring() {
        for (int i = 0; i < touched.size(); i++) {
            Req r = touched.get(i);
            r.touched = false;
            if (!r.over && r.wantEnd != End.NONE) {
                r.over = true;
                if (r.wantEnd == End.DENIED) {
                    to.deny(r.told.rid(), r.pause);
                } else {
                    to.abort(r.told.rid());
                }
                if (r.counting) {
                    // its add is still out; it is given back when the answer comes
                    r.admitted = false;
                }
            } else if (!r.over && r.next != null) {
                dispatch(r);
            }
            r.next = null;
            for (int n = 0; n < r.sent.size(); n++) {
                Dispatch d = r.sent.get(n);
                if (d.out && (r.over && !r.streaming || d.givenUp) && !d.cancelled && rules.mayCancel()) {
                    d.cancelled = true;
                    to.cancel(r.told.rid(), n);
                }
            }
            if (!r.over && !r.streaming && r.wake < r.waking) {
                r.waking = r.wake;
                to.wake(r.wake, r.told.rid());
            }
            if (r.over && r.out() == 0 && !r.counting) {
                reqs.release(r.told.rid());
            }
        }
        touched.clear();
        for (int i = 0; i < wantCalls.size(); i++) {
            long keep = Math.min(LONGEST_KEPT, wantCalls.get(i).turn - now + longest);
            to.count(wantCalls.get(i).name, wantCallsOf.get(i).units(), Math.max(1, keep));
        }
        wantCalls.clear();
        wantCallsOf.clear();
    }

    private void dispatch(Req r) {
        Dispatch d = new Dispatch();
        d.srv = r.next;
        d.sent = now;
        d.pace = pace(r);
        r.sent.add(d);
        r.customer.out++;
        d.srv.out++;
        out++;
        d.srv.paceSum += 1 / d.pace;
        d.srv.paceBase += now / d.pace;
        unitsSent += r.told.units();
        if (warmth(d.srv) < 1) {
            d.srv.coldSent.add(new double[] {now, r.told.units()});
        }
        hedges = Math.min(HEDGE_STORE, hedges + HEDGE_PART);
        if (rules.secondCopies() && r.sent.size() == 1) {
            r.wake = Math.min(r.end, now + (long) (HEDGE_AFTER * d.pace));
        }
        to.dispatch(r.told.rid(), d.srv.id, r.end - now);
    }
}
