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
 * A fleet of members on an in-memory network in virtual time, which is counted in ticks of 0.1 ms.
 * It runs {@link Membership} as {@code serve} does. Each datagram is encoded and decoded, takes up
 * to {@value #MAX_DELAY_TICKS} ticks and is never lost. If {@link #readMembers} is on, each
 * member's state is read after each tick and datagram, as a node does. Not thread-safe; the same
 * seed gives the same run.
 */
final class MemberNetwork {
  static final long TICKS_PER_SECOND = 10_000;
  // the same limit as in the laboratory's scenarios
  private static final int PEER_DATAGRAMS_PER_SECOND = 60;
  private static final double MAX_DELAY_TICKS = 20; // 2 ms, the delay within a region
  private static final long POLL_INTERVAL_TICKS = 1_000; // of until()

  private record Step(long atTick, long order, Runnable action) {}

  private final MembershipTimings timings;
  private final Membership[] members;
  private final MembershipChanged[] lastEvents; // last event that each node sent to its policy
  private final boolean[] stopped;
  private final PriorityQueue<Step> steps = new PriorityQueue<>(
      (first, second) -> first.atTick != second.atTick ? Long.compare(first.atTick, second.atTick)
          : Long.compare(first.order, second.order));
  private final SplittableRandom random;
  private long order;
  private long now;
  private long datagrams;
  private long bytes;
  private boolean readsMembers;

  MemberNetwork(int count, long seed) {
    timings = MembershipTimings.of(count, PEER_DATAGRAMS_PER_SECOND);
    members = new Membership[count];
    lastEvents = new MembershipChanged[count];
    stopped = new boolean[count];
    random = new SplittableRandom(seed);
    for (int i = 0; i < count; i++) {
      members[i] = new Membership(timings, i, 1, seed * count + i, now, output(i));
      tick(i);
    }
  }

  private Membership.Output output(int from) {
    return new Membership.Output() {
      @Override
      public void send(int to, MembershipMessage message) {
        byte[] datagram = MembershipCodec.encode(message);
        datagrams++;
        bytes += datagram.length;
        after(1 + (long) (MAX_DELAY_TICKS * random.nextDouble()),
            () -> receive(to, from, datagram));
      }

      @Override
      public void stateChanged(int member, State state, long incarnation, long version) {
        // used only for a history, which is not recorded here
      }
    };
  }

  private void receive(int to, int from, byte[] datagram) {
    if (stopped[to]) return;
    members[to].tick(now);
    members[to].receive(now, from, MembershipCodec.decode(datagram));
    readMember(to);
  }

  private void tick(int member) {
    after(MembershipTimings.tickIntervalTicks(), () -> {
      if (stopped[member]) return;
      members[member].tick(now);
      readMember(member);
      tick(member);
    });
  }

  /** Reads a member's state as a node does to notify its policy of changes. */
  private void readMember(int member) {
    if (!readsMembers) return;
    MembershipChanged event = members[member].membershipEvent();
    if (!event.equals(lastEvents[member])) lastEvents[member] = event;
  }

  private void after(long ticks, Runnable action) {
    steps.add(new Step(now + ticks, order++, action));
  }

  /**
   * Sets whether each member's state is read as a node does. This is the largest part of the cost
   * and is off if only the protocol's virtual time is measured.
   */
  void readMembers(boolean on) {
    readsMembers = on;
  }

  void kill(int member) {
    stopped[member] = true;
  }

  /** Advances virtual time by {@code ticks} and runs all steps that are due. */
  void advance(long ticks) {
    long end = now + ticks;
    while (!steps.isEmpty() && steps.peek().atTick <= end) {
      Step step = steps.poll();
      now = step.atTick;
      step.action.run();
    }
    now = end;
  }

  /**
   * Advances virtual time until the condition holds; returns the elapsed ticks, or -1 if it does
   * not hold within {@code maxTicks}.
   */
  long until(BooleanSupplier condition, long maxTicks) {
    long from = now;
    while (!condition.getAsBoolean()) {
      if (now - from >= maxTicks) return -1;
      advance(POLL_INTERVAL_TICKS);
    }
    return now - from;
  }

  /**
   * Returns whether all running members have the same view, with exactly the running ones alive.
   */
  boolean agree() {
    List<Membership> running = new ArrayList<>();
    for (int i = 0; i < members.length; i++) if (!stopped[i]) running.add(members[i]);
    long digest = running.get(0).digest();
    return running.stream()
        .allMatch(member -> member.digest() == digest && member.liveCount() == running.size());
  }

  /** Returns how many running members consider {@code member} failed. */
  int countFailedViews(int member) {
    int failedViews = 0;
    for (int i = 0; i < members.length; i++) {
      if (!stopped[i] && members[i].state(member) == State.FAILED) failedViews++;
    }
    return failedViews;
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
