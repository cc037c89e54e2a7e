package saltlatch.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import saltlatch.membership.MembershipMessage.State;
import saltlatch.wire.peer.MembershipCodec;

/**
 * Simulates a fleet of members in virtual time, on a network with loss, delay and partitions. Every
 * datagram is encoded and decoded.
 */
final class Fleet {
  static final long SECOND = 10_000;
  private static final long TICK_INTERVAL = 500; // 50 ms, as in a node
  private static final double MAX_DELAY = 300; // 30 ms; the random delays reorder datagrams
  private static final int MAX_DATAGRAM_BYTES = 256;

  private record Event(long at, long order, Runnable action) {}

  final MembershipTimings timings;
  final Membership[] members;
  final QuotaShares[] shares;
  double maxTotalShare; // maximum over time of the sum of all processes' shares of one quota
  double minTotalShare = 9;
  final boolean[] dead;
  final boolean[] paused;
  final double[] clockRates; // by member: speed of its clock, 1 for an exact one
  final StringBuilder history = new StringBuilder();
  // "observer>member": when the observer last marked the member failed
  final Map<String, Long> failedAt = new HashMap<>();
  long now;
  long sentCount;
  int falseFailures;
  int maxSentPerTick; // by all members together
  private int sentThisTick;
  double lossRate;
  BiPredicate<Integer, Integer> canReach = (sender, receiver) -> true;
  private final List<ArrayDeque<Runnable>> queuesOfPaused = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>(
      (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final SplittableRandom random;
  private final long seed;
  private long nextOrder;

  Fleet(int memberCount, long seed) {
    this.seed = seed;
    random = new SplittableRandom(seed);
    timings = MembershipTimings.of(memberCount, 60);
    members = new Membership[memberCount];
    shares = new QuotaShares[memberCount];
    dead = new boolean[memberCount];
    paused = new boolean[memberCount];
    clockRates = new double[memberCount];
    for (int member = 0; member < memberCount; member++) {
      clockRates[member] = 1 + 0.02 * (random.nextDouble() - 0.5); // drift of at most 1 %
      queuesOfPaused.add(new ArrayDeque<>());
      start(member);
    }
  }

  /** Starts or restarts a member. Its incarnation is the second of its start, so it increases. */
  void start(int self) {
    dead[self] = false;
    Membership membership = new Membership(timings, self, 1 + now / SECOND, seed * 1000 + self,
        clock(self), new Membership.Output() {
          @Override
          public void send(int receiver, MembershipMessage message) {
            byte[] datagram = MembershipCodec.encode(message);
            if (datagram.length > MAX_DATAGRAM_BYTES) {
              throw new IllegalStateException("datagram of " + datagram.length + " bytes, limit "
                  + MAX_DATAGRAM_BYTES + " bytes");
            }
            sentCount++;
            maxSentPerTick = Math.max(maxSentPerTick, ++sentThisTick);
            if (random.nextDouble() < lossRate) return;
            long arrivesAt = now + 1 + (long) (MAX_DELAY * random.nextDouble());
            schedule(arrivesAt, () -> {
              if (!dead[receiver] && canReach.test(self, receiver)) runOrQueue(receiver, () -> {
                members[receiver].receive(clock(receiver), self, MembershipCodec.decode(datagram));
                shares[receiver].update(members[receiver].membershipEvent());
              });
            });
          }

          @Override
          public void stateChanged(int member, State state, long incarnation, long version) {
            history.append(now).append(' ').append(self).append(' ').append(member).append(state)
                .append(incarnation).append('\n');
            if (state != State.FAILED) return;
            failedAt.put(self + ">" + member, now);
            if (!dead[member] && !paused[member] && canReach.test(self, member)
                && canReach.test(member, self)) {
              falseFailures++;
            }
          }
        });
    members[self] = membership;
    shares[self] = new QuotaShares(self, timings.memberCount());
    shares[self].update(membership.membershipEvent());
    scheduleTick(self, membership);
  }

  /**
   * Returns the sum of the shares that all processes may use of a quota with the given set of
   * nodes. A paused process counts with the share that it would compute now.
   */
  double totalShare(int firstNode, int setWidth) {
    double sum = 0;
    for (int member = 0; member < members.length; member++) {
      if (!dead[member]) {
        sum += shares[member].ownShare(clock(member), firstNode, setWidth);
      }
    }
    return sum;
  }

  private void recordTotalShares() {
    for (int setWidth : new int[] {members.length, 3}) {
      double sum = totalShare(members.length / 2, setWidth);
      maxTotalShare = Math.max(maxTotalShare, sum);
      if (setWidth > 3) {
        minTotalShare = Math.min(minTotalShare, sum);
      }
    }
  }

  private long clock(int member) {
    return (long) (now * clockRates[member]);
  }

  private void scheduleTick(int member, Membership membership) {
    schedule(now + TICK_INTERVAL, () -> {
      if (dead[member] || members[member] != membership) {
        return;
      }
      if (!paused[member]) {
        membership.tick(clock(member));
      }
      if (!paused[member]) {
        shares[member].update(membership.membershipEvent());
      }
      scheduleTick(member, membership);
    });
  }

  private void schedule(long at, Runnable action) {
    events.add(new Event(at, nextOrder++, action));
  }

  private void runOrQueue(int member, Runnable action) {
    if (paused[member]) {
      queuesOfPaused.get(member).add(action);
    } else {
      action.run();
    }
  }

  /**
   * Resumes a paused member. It ticks first and only then receives the datagrams queued at its
   * socket.
   */
  void resume(int member) {
    paused[member] = false;
    members[member].tick(clock(member));
    ArrayDeque<Runnable> queue = queuesOfPaused.get(member);
    for (Runnable action = queue.poll(); action != null; action = queue.poll()) {
      action.run();
    }
  }

  /** Advances the virtual time and runs the events that are due. */
  void advance(long duration) {
    long until = now + duration;
    while (!events.isEmpty() && events.peek().at <= until) {
      Event event = events.poll();
      boolean inLaterTick = now / TICK_INTERVAL != event.at / TICK_INTERVAL;
      now = event.at;
      if (inLaterTick) {
        recordTotalShares();
        sentThisTick = 0;
      }
      event.action.run();
    }
    now = until;
  }

  /**
   * Advances the time until the condition holds, which is checked every 100 ms. Returns the time
   * that this took, or -1 if the condition did not hold within {@code timeout}.
   */
  long awaitCondition(BooleanSupplier condition, long timeout) {
    long startedAt = now;
    while (!condition.getAsBoolean()) {
      if (now - startedAt >= timeout) {
        return -1;
      }
      advance(1_000);
    }
    return now - startedAt;
  }

  /** Returns whether all other running members have the member in the given state. */
  boolean allOthersSee(int member, State state) {
    for (int observer = 0; observer < members.length; observer++) {
      if (observer != member && !dead[observer] && !paused[observer]
          && members[observer].state(member) != state) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether all running members have equal views with exactly the running ones live. */
  boolean viewsAgree() {
    int runningCount = 0;
    for (boolean isDead : dead) {
      runningCount += isDead ? 0 : 1;
    }
    long digest = 0;
    boolean first = true;
    for (int member = 0; member < members.length; member++) {
      if (dead[member]) {
        continue;
      }
      if (members[member].liveCount() != runningCount
          || (!first && members[member].digest() != digest)) {
        return false;
      }
      digest = members[member].digest();
      first = false;
    }
    return true;
  }
}
