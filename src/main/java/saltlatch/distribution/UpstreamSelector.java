package saltlatch.distribution;

import java.util.SplittableRandom;

/**
 * Which upstream is followed. One watch is open at a time; one that fails, falls silent or is
 * behind is put off.
 */
final class UpstreamSelector {
  /** An upstream that says nothing for so long is left, ms: two keep-alives and a little. */
  static final long SILENT_MS = 4_500;
  /**
   * One that is tried for being preferred has so long to answer, ms: meanwhile nothing is received.
   */
  static final long TRIAL_MS = 1_500;
  /** A watch that has gone well for so long clears its upstream's failures, ms. */
  static final long STEADY_MS = 10_000;
  /**
   * While another is there, so long is waited for a first list, ms; doubled with each time in vain.
   */
  static final long PATIENCE_MS = 15_000;

  private static final int MOST_PATIENCE_DOUBLINGS = 5;
  private static final Backoff AFTER_FAILURE = new Backoff(50, 500, 15_000);
  private static final Backoff AFTER_BEHIND = new Backoff(2_000, 5_000, 300_000);
  private static final Backoff AFTER_MALFORMED = new Backoff(30_000, 60_000, 900_000);
  private static final Backoff BEFORE_RETURN = new Backoff(20_000, 60_000, 900_000);
  private static final int NONE = -1;

  /** What is remembered of one upstream. */
  private static final class Upstream {
    int failures;
    int malformed;
    int returns;
    long notBefore;
    long returnAt;
  }

  private final Upstream[] upstreams;
  private final SplittableRandom random;
  private final Replica replica;
  private final DistributorActions actions;

  private int current = NONE;
  private int last = NONE;
  private int before = NONE;
  private boolean stopped = true;
  private boolean answered;
  /** The whole list was asked for and nothing of use has come yet. */
  private boolean fromNone;
  private boolean behind;
  private long openedAt;
  private long aliveAtMs;
  private boolean everFresh;
  private long freshAt;
  private long failed;
  private long malformed;

  UpstreamSelector(int count, long seed, Replica replica, DistributorActions actions) {
    upstreams = new Upstream[count];
    for (int upstream = 0; upstream < count; upstream++) {
      upstreams[upstream] = new Upstream();
    }
    random = new SplittableRandom(seed);
    this.replica = replica;
    this.actions = actions;
  }

  /** Opens the first. */
  void start(long now) {
    stopped = false;
    openNext(now);
  }

  /** Ends the watch, for good. */
  void stop() {
    stopped = true;
    if (current != NONE) {
      close(DistributorActions.Reason.STOPPING);
    }
  }

  /** Whether events of this upstream count. */
  boolean follows(int upstream) {
    return upstream == current;
  }

  /** The one followed, -1 while none is. */
  int current() {
    return current;
  }

  /** The watch was answered, which says nothing yet of how old its list is. */
  void answered(long now) {
    answered = true;
    aliveAtMs = now;
  }

  /** It said something, whatever it was. */
  void alive(long now) {
    answered(now);
    if (behind || !replica.listed()) {
      return;
    }
    freshAt = now;
    everFresh = true;
    if (now - openedAt >= STEADY_MS) {
      settled();
    }
  }

  /** It stands where this relay does, or it was what brought it there. */
  void level(long now) {
    behind = false;
    fromNone = false;
    alive(now);
  }

  /** It has less than this relay holds: another is preferred, if one may be tried. */
  void fallsBehind(long now) {
    behind = true;
    alive(now);
    leaveBehind(now);
  }

  /** It has begun another series: the whole list is needed. */
  void reopenFromNone(long now) {
    if (fromNone) {
      malformed(now);
      return;
    }
    int upstream = current;
    close(DistributorActions.Reason.SUPERSEDED);
    open(upstream, Version.NONE, now);
  }

  /** The watch is to be ended since it can't be used. */
  void malformed(long now) {
    int upstream = current;
    close(DistributorActions.Reason.MALFORMED);
    putOffMalformed(upstream, now);
    openNext(now);
  }

  /** The watch has ended by itself. */
  void failed(Distributor.Failure failure, long now) {
    int upstream = current;
    current = NONE;
    if (failure == Distributor.Failure.MALFORMED) {
      putOffMalformed(upstream, now);
    } else {
      putOff(upstream, now);
    }
    openNext(now);
  }

  /**
   * Leaves one that is silent or behind, opens one whose delay is over, returns to a preferred one.
   */
  void tick(long now) {
    if (stopped) {
      return;
    }
    if (current == NONE) {
      openNext(now);
    } else if (now >= silentAt()) {
      silent(now);
    } else if (waitsInVain(now)) {
      leaveBehind(now);
    } else if (mayReturn(now)) {
      returnTo(preferred(now), now);
    }
  }

  /** When {@link #tick} is wanted, ms. */
  long due() {
    if (stopped) {
      return Long.MAX_VALUE;
    }
    if (current == NONE) {
      return soonest();
    }
    return Math.min(silentAt(), Math.min(leaveDue(), returnDue()));
  }

  /**
   * Since when nothing was received of a list as new as the one held, ms; 0 while in time, -1
   * before any list.
   */
  long staleMs(long now) {
    if (!everFresh) {
      return -1;
    }
    return now - freshAt <= SILENT_MS ? 0 : now - freshAt;
  }

  /** Watches that failed. */
  long failures() {
    return failed;
  }

  /** Of these, by what could not be read. */
  long malformedCount() {
    return malformed;
  }

  private void openNext(long now) {
    int next = before != NONE && upstreams[before].notBefore <= now ? before : nextInOrder(now);
    before = NONE;
    if (next != NONE) {
      open(next, replica.version(), now);
    }
  }

  private int nextInOrder(long now) {
    for (int step = 1; step <= upstreams.length; step++) {
      int upstream = Math.floorMod(last + step, upstreams.length);
      if (upstreams[upstream].notBefore <= now) {
        return upstream;
      }
    }
    return NONE;
  }

  private void open(int upstream, Version since, long now) {
    current = upstream;
    last = upstream;
    answered = false;
    behind = false;
    fromNone = since.equals(Version.NONE);
    openedAt = now;
    aliveAtMs = now;
    actions.openUpstream(upstream, since);
  }

  private void close(DistributorActions.Reason reason) {
    actions.closeUpstream(current, reason);
    current = NONE;
  }

  private void putOff(int upstream, long now) {
    failed++;
    Upstream state = upstreams[upstream];
    state.notBefore = now + AFTER_FAILURE.delayMs(state.failures++, random);
    putOffReturn(state, now);
  }

  private void putOffMalformed(int upstream, long now) {
    failed++;
    malformed++;
    Upstream state = upstreams[upstream];
    state.notBefore = now + AFTER_MALFORMED.delayMs(state.malformed++, random);
    putOffReturn(state, now);
  }

  private void putOffBehind(int upstream, long now) {
    Upstream state = upstreams[upstream];
    state.notBefore = now + AFTER_BEHIND.delayMs(state.failures++, random);
    putOffReturn(state, now);
  }

  private void putOffReturn(Upstream state, long now) {
    state.returnAt = Math.max(state.notBefore,
        now + BEFORE_RETURN.delayMs(state.returns++, random));
  }

  private void settled() {
    upstreams[current].failures = 0;
    upstreams[current].malformed = 0;
    upstreams[current].returns = 0;
    before = NONE;
  }

  private long silentAt() {
    return aliveAtMs + (before != NONE && !answered ? TRIAL_MS : SILENT_MS);
  }

  private void silent(long now) {
    int upstream = current;
    close(DistributorActions.Reason.SILENT);
    putOff(upstream, now);
    openNext(now);
  }

  private boolean waitsInVain(long now) {
    return now >= leaveDue();
  }

  /**
   * When one that is behind, or gives no list, is left for another; never while there is no other.
   */
  private long leaveDue() {
    long other = soonestOther();
    if (behind) {
      return other;
    }
    if (replica.listed() || other == Long.MAX_VALUE) {
      return Long.MAX_VALUE;
    }
    long patience = PATIENCE_MS << Math.min(upstreams[current].failures, MOST_PATIENCE_DOUBLINGS);
    return Math.max(other, openedAt + patience);
  }

  private void leaveBehind(long now) {
    if (soonestOther() > now) {
      return;
    }
    int upstream = current;
    close(DistributorActions.Reason.SUPERSEDED);
    putOffBehind(upstream, now);
    openNext(now);
  }

  private long soonest() {
    long soonest = Long.MAX_VALUE;
    for (Upstream upstream : upstreams) {
      soonest = Math.min(soonest, upstream.notBefore);
    }
    return soonest;
  }

  private long soonestOther() {
    long soonest = Long.MAX_VALUE;
    for (int upstream = 0; upstream < upstreams.length; upstream++) {
      if (upstream != current) {
        soonest = Math.min(soonest, upstreams[upstream].notBefore);
      }
    }
    return soonest;
  }

  private boolean mayReturn(long now) {
    return now >= returnDue();
  }

  /**
   * When a preferred one is tried: only with a list in hand, so that it need not send one, and from
   * a watch that goes well.
   */
  private long returnDue() {
    if (!replica.listed() || behind || !answered) {
      return Long.MAX_VALUE;
    }
    long due = Long.MAX_VALUE;
    for (int upstream = 0; upstream < current; upstream++) {
      due = Math.min(due, upstreams[upstream].returnAt);
    }
    return due == Long.MAX_VALUE ? due : Math.max(due, openedAt + STEADY_MS);
  }

  private int preferred(long now) {
    for (int upstream = 0; upstream < current; upstream++) {
      if (upstreams[upstream].returnAt <= now) {
        return upstream;
      }
    }
    return NONE;
  }

  private void returnTo(int upstream, long now) {
    int left = current;
    close(DistributorActions.Reason.SUPERSEDED);
    open(upstream, replica.version(), now);
    before = left;
  }
}
