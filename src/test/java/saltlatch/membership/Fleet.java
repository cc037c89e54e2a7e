package saltlatch.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import saltlatch.membership.MembershipMessage.State;
import saltlatch.wire.peer.MembershipCodec;

/**
 * A fleet of members in virtual time over a network with loss, delay and cuts; every datagram goes
 * through its form.
 */
final class Fleet {
  static final long SECOND = 10_000;
  private static final long TICK = 500; // 50 ms, as a node's housekeeping
  private static final double REORDER = 300; // up to 30 ms on the way, drawn for each datagram

  private record Step(long at, long order, Runnable then) {}

  final MembershipTimings terms;
  final Membership[] members;
  final QuotaShares[] shares;
  double mostShared; // the sum of shares of one quota in use over all processes, at its highest
  double leastShared = 9;
  final boolean[] dead;
  final boolean[] paused;
  final double[] drift; // how fast a member's clock runs
  final StringBuilder history = new StringBuilder();
  // "observer>member": when it was last held failed
  final Map<String, Long> failedAt = new HashMap<>();
  long now;
  long sent;
  int falseFailures;
  int burst; // the most datagrams sent between two ticks, of all members together
  private int lately;
  double loss;
  BiPredicate<Integer, Integer> reach = (a, b) -> true;
  private final List<ArrayDeque<Runnable>> queues = new ArrayList<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>(
      (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final SplittableRandom chance;
  private final long seed;
  private long order;

  Fleet(int n, long seed) {
    this.seed = seed;
    chance = new SplittableRandom(seed);
    terms = MembershipTimings.of(n, 60);
    members = new Membership[n];
    shares = new QuotaShares[n];
    dead = new boolean[n];
    paused = new boolean[n];
    drift = new double[n];
    for (int i = 0; i < n; i++) {
      drift[i] = 1 + 0.02 * (chance.nextDouble() - 0.5); // 1 in 100 to either side
      queues.add(new ArrayDeque<>());
      start(i);
    }
  }

  /** Starts it; again with a higher incarnation, the second of its start. */
  void start(int i) {
    dead[i] = false;
    Membership[] self = new Membership[1];
    self[0] = members[i] = new Membership(terms, i, 1 + now / SECOND, seed * 1000 + i, clock(i),
        new Membership.Output() {
          @Override
          public void send(int to, MembershipMessage m) {
            byte[] bytes = MembershipCodec.encode(m);
            if (bytes.length > 256) throw new IllegalStateException(bytes.length + " bytes");
            sent++;
            burst = Math.max(burst, ++lately);
            if (chance.nextDouble() < loss) return;
            long at = now + 1 + (long) (REORDER * chance.nextDouble());
            after(at, () -> {
              if (!dead[to] && reach.test(i, to)) run(to, () -> {
                members[to].receive(clock(to), i, MembershipCodec.decode(bytes));
                shares[to].update(members[to].membershipEvent());
              });
            });
          }

          @Override
          public void stateChanged(int member, State state, long inc, long version) {
            history.append(now).append(' ').append(i).append(' ').append(member).append(state)
                .append(inc).append('\n');
            if (state != State.FAILED) return;
            failedAt.put(i + ">" + member, now);
            if (!dead[member] && !paused[member] && reach.test(i, member) && reach.test(member, i))
              falseFailures++;
          }
        });
    shares[i] = new QuotaShares(i, terms.memberCount());
    shares[i].update(self[0].membershipEvent());
    tick(i, self[0]);
  }

  /**
   * What all processes together may use of a quota of so many nodes; one that is stopped counts as
   * if it decided now.
   */
  double shared(int first, int width) {
    double sum = 0;
    for (int i = 0; i < members.length; i++)
      if (!dead[i]) sum += shares[i].ownShare(clock(i), first, width);
    return sum;
  }

  private void look() {
    for (int width : new int[] {members.length, 3}) {
      double sum = shared(members.length / 2, width);
      mostShared = Math.max(mostShared, sum);
      if (width > 3) leastShared = Math.min(leastShared, sum);
    }
  }

  private long clock(int i) {
    return (long) (now * drift[i]);
  }

  private void tick(int i, Membership self) {
    after(now + TICK, () -> {
      if (dead[i] || members[i] != self) return;
      if (!paused[i]) self.tick(clock(i));
      if (!paused[i]) shares[i].update(self.membershipEvent());
      tick(i, self);
    });
  }

  private void after(long at, Runnable then) {
    steps.add(new Step(at, order++, then));
  }

  private void run(int i, Runnable what) {
    if (paused[i]) queues.get(i).add(what);
    else what.run();
  }

  /** Continued: its clock is seen first, then what had queued at its socket. */
  void resume(int i) {
    paused[i] = false;
    members[i].tick(clock(i));
    for (Runnable r = queues.get(i).poll(); r != null; r = queues.get(i).poll()) r.run();
  }

  void pass(long time) {
    long until = now + time;
    while (!steps.isEmpty() && steps.peek().at <= until) {
      Step s = steps.poll();
      boolean later = now / TICK != s.at / TICK;
      now = s.at;
      if (later) {
        look();
        lately = 0;
      }
      s.then.run();
    }
    now = until;
  }

  /** Time until the condition holds, looked at each 100 ms; -1: not within {@code most}. */
  long until(java.util.function.BooleanSupplier holds, long most) {
    long from = now;
    while (!holds.getAsBoolean()) {
      if (now - from >= most) return -1;
      pass(1_000);
    }
    return now - from;
  }

  boolean allSee(int member, State state) {
    for (int i = 0; i < members.length; i++) {
      if (i != member && !dead[i] && !paused[i] && members[i].state(member) != state) return false;
    }
    return true;
  }

  /** All running members hold the same view, with exactly the running ones alive. */
  boolean agree() {
    int live = 0;
    for (boolean d : dead) live += d ? 0 : 1;
    long digest = 0;
    boolean first = true;
    for (int i = 0; i < members.length; i++) {
      if (dead[i]) continue;
      if (members[i].liveCount() != live || !first && members[i].digest() != digest) return false;
      digest = members[i].digest();
      first = false;
    }
    return true;
  }
}
