package saltlatch.lab.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.membership.Membership;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipMessage.State;
import saltlatch.membership.MembershipTimings;
import saltlatch.wire.peer.MembershipCodec;

/**
 * A fleet of members over a network in memory, in virtual time (tenths of a ms): {@link Membership}
 * as {@code serve} runs it, each datagram written and read by its form, up to {@value #MOST_DELAY}
 * on the way, none lost. Every member is looked at after each tick and datagram as a node does. One
 * caller; the same seed gives the same run.
 */
final class MemberNetwork {
  static final long TICKS_PER_SECOND = 10_000;
  // datagrams a second that a node takes in, as in the lab's scenarios
  private static final int INTAKE = 60;
  private static final double MOST_DELAY = 20; // 2 ms: within a region
  private static final long LOOK = 1_000; // between two looks whether a condition holds

  private record Step(long at, long order, Runnable then) {}

  private final MembershipTimings timings;
  private final Membership[] members;
  private final MembershipChanged[] told; // as each node has last told its module
  private final boolean[] dead;
  private final PriorityQueue<Step> steps = new PriorityQueue<>(
      (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final SplittableRandom chance;
  private long order;
  private long now;
  private long datagrams;
  private long bytes;
  private boolean looking;

  MemberNetwork(int count, long seed) {
    timings = MembershipTimings.of(count, INTAKE);
    members = new Membership[count];
    told = new MembershipChanged[count];
    dead = new boolean[count];
    chance = new SplittableRandom(seed);
    for (int i = 0; i < count; i++) {
      members[i] = new Membership(timings, i, 1, seed * count + i, now, out(i));
      tick(i);
    }
  }

  private Membership.Output out(int from) {
    return new Membership.Output() {
      @Override
      public void send(int to, MembershipMessage message) {
        byte[] datagram = MembershipCodec.encode(message);
        datagrams++;
        bytes += datagram.length;
        after(1 + (long) (MOST_DELAY * chance.nextDouble()), () -> heard(to, from, datagram));
      }

      @Override
      public void stateChanged(int member, State state, long incarnation, long version) {
        // Only a history would be told.
      }
    };
  }

  private void heard(int to, int from, byte[] datagram) {
    if (dead[to]) return;
    members[to].tick(now);
    members[to].receive(now, from, MembershipCodec.decode(datagram));
    look(to);
  }

  private void tick(int member) {
    after(MembershipTimings.tickIntervalTicks(), () -> {
      if (dead[member]) return;
      members[member].tick(now);
      look(member);
      tick(member);
    });
  }

  /** What a node does to tell its module of changes. */
  private void look(int member) {
    if (!looking) return;
    MembershipChanged is = members[member].membershipEvent();
    if (!is.equals(told[member])) told[member] = is;
  }

  private void after(long time, Runnable then) {
    steps.add(new Step(now + time, order++, then));
  }

  /**
   * Whether members are looked at as nodes do, which costs most: left out where only the protocol's
   * time is wanted.
   */
  void readMembers(boolean on) {
    looking = on;
  }

  void kill(int member) {
    dead[member] = true;
  }

  /** Lets time pass. */
  void advance(long time) {
    long until = now + time;
    while (!steps.isEmpty() && steps.peek().at <= until) {
      Step step = steps.poll();
      now = step.at;
      step.then.run();
    }
    now = until;
  }

  /** Time until the condition holds, or {@code most}; below 0: it did not. */
  long until(BooleanSupplier condition, long most) {
    long from = now;
    while (!condition.getAsBoolean()) {
      if (now - from >= most) return -1;
      advance(LOOK);
    }
    return now - from;
  }

  /** All running members hold the same view, with exactly the running ones alive. */
  boolean agree() {
    List<Membership> running = new ArrayList<>();
    for (int i = 0; i < members.length; i++) if (!dead[i]) running.add(members[i]);
    long digest = running.get(0).digest();
    return running.stream()
        .allMatch(one -> one.digest() == digest && one.liveCount() == running.size());
  }

  /** How many of the running members hold that one failed. */
  int countFailedViews(int member) {
    int holding = 0;
    for (int i = 0; i < members.length; i++) {
      if (!dead[i] && members[i].state(member) == State.FAILED) holding++;
    }
    return holding;
  }

  MembershipTimings timings() {
    return timings;
  }

  long datagrams() {
    return datagrams;
  }

  long bytes() {
    return bytes;
  }
}
