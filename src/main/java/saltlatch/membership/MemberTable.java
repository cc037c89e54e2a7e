package saltlatch.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * This node's view of the fleet: each member's state and incarnation, and a digest of them.
 *
 * <p>Invariants: the members are the ones of the configuration, by index; a member's incarnation
 * never decreases; within an incarnation a state is overridden only by a later constant of
 * {@link State}; every change increases the version. Only {@link MemberStateMachine} writes it.
 */
final class MemberTable {
  private static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  private final int ownIndex;
  private final State[] states;
  private final long[] incarnations;
  private final long[] unavailableAtTicks; // by member: when it was last FAILED or LEFT
  private long digest;
  private long version;

  MemberTable(int ownIndex, int memberCount) {
    this.ownIndex = ownIndex;
    states = new State[memberCount];
    Arrays.fill(states, State.UNKNOWN);
    incarnations = new long[memberCount];
    unavailableAtTicks = new long[memberCount];
    Arrays.fill(unavailableAtTicks, NEVER_TICKS);
  }

  int ownIndex() {
    return ownIndex;
  }

  long ownIncarnation() {
    return incarnations[ownIndex];
  }

  int size() {
    return states.length;
  }

  boolean contains(int member) {
    return member >= 0 && member < states.length;
  }

  State state(int member) {
    return states[member];
  }

  long incarnation(int member) {
    return incarnations[member];
  }

  /**
   * Returns when the member's state was last FAILED or LEFT, in ticks. The time is recorded when
   * another state replaces one of these two.
   */
  long unavailableAtTicks(int member) {
    return unavailableAtTicks[member];
  }

  /** Returns whether the member is alive or suspect. */
  boolean isLive(int member) {
    return states[member] == State.ALIVE || states[member] == State.SUSPECT;
  }

  int liveCount() {
    int count = 0;
    for (int member = 0; member < states.length; member++) {
      count += isLive(member) ? 1 : 0;
    }
    return count;
  }

  int countInState(State state) {
    int count = 0;
    for (State memberState : states) {
      count += memberState == state ? 1 : 0;
    }
    return count;
  }

  long version() {
    return version;
  }

  long digest() {
    return digest;
  }

  /**
   * Returns whether an update has a higher incarnation than the member's entry, or the same
   * incarnation and a later state.
   */
  boolean isOverriddenBy(MemberUpdate update) {
    int member = update.member();
    if (update.state() == State.UNKNOWN) {
      return false;
    }
    if (states[member] == State.UNKNOWN || update.incarnation() > incarnations[member]) {
      return true;
    }
    return update.incarnation() == incarnations[member]
        && update.state().compareTo(states[member]) > 0;
  }

  /** Returns whether an update suspects a member that is already suspect in this incarnation. */
  boolean isSameSuspicion(MemberUpdate update) {
    return update.state() == State.SUSPECT && states[update.member()] == State.SUSPECT
        && update.incarnation() == incarnations[update.member()];
  }

  /** Sets a member's state, and returns whether the digest has changed. */
  boolean set(int member, State state, long incarnation, long now) {
    long previousDigest = digest;
    digest -= digestOf(member);
    if (states[member] == State.FAILED || states[member] == State.LEFT) {
      unavailableAtTicks[member] = now;
    }
    states[member] = state;
    incarnations[member] = incarnation;
    digest += digestOf(member);
    version++;
    return digest != previousDigest;
  }

  /**
   * Returns the member's part of the digest. Two views are equal if the same members are live and
   * the others are failed or left in the same incarnations. Suspicions and the incarnations of live
   * members are excluded: in a large fleet on a lossy network some suspicion or refutation is
   * always being disseminated, and the views would never be equal.
   */
  private long digestOf(int member) {
    if (states[member] == State.UNKNOWN) {
      return 0;
    }
    long unavailable = incarnations[member] * 0xBF58476D1CE4E5B9L + states[member].code();
    long mixed = member * 0x9E3779B97F4A7C15L + (isLive(member) ? State.ALIVE.code() : unavailable);
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }

  /** Returns the other members that are live, in random order. */
  List<Integer> shuffledLivePeers(SplittableRandom random) {
    return shuffledPeers(true, random);
  }

  /** Returns the other members that are failed or unknown, in random order. */
  List<Integer> shuffledUnreachablePeers(SplittableRandom random) {
    return shuffledPeers(false, random);
  }

  private List<Integer> shuffledPeers(boolean live, SplittableRandom random) {
    List<Integer> peers = new ArrayList<>();
    for (int member = 0; member < states.length; member++) {
      if (member != ownIndex && states[member] != State.LEFT && isLive(member) == live) {
        peers.add(member);
      }
    }
    for (int i = peers.size() - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      int swapped = peers.get(i);
      peers.set(i, peers.get(j));
      peers.set(j, swapped);
    }
    return peers;
  }
}
