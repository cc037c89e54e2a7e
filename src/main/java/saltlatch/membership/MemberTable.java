package saltlatch.membership;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * The state and incarnation in which this node holds each member, and the digest of all.
 *
 * <p>Invariants: the members are those of the configuration, by number; a member's incarnation
 * never falls; within an incarnation a state is overridden only by a later one of {@link State};
 * the version grows with every change. {@link MemberStateMachine} alone writes it.
 */
final class MemberTable {
  private static final long NEVER_TICKS = Long.MIN_VALUE / 2;

  private final int ownIndex;
  private final State[] states;
  private final long[] incarnations;
  private final long[] unavailableAtTicks; // when it was last held failed or left
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

  /** When it was last held failed or left, in ticks. */
  long unavailableAtTicks(int member) {
    return unavailableAtTicks[member];
  }

  /** Alive or suspect. */
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
    for (State held : states) {
      count += held == state ? 1 : 0;
    }
    return count;
  }

  long version() {
    return version;
  }

  long digest() {
    return digest;
  }

  /** Whether an update raises a member's incarnation, or its state within its incarnation. */
  boolean isOverriddenBy(MemberUpdate update) {
    int member = update.member();
    if (update.state() == State.UNKNOWN) {
      return false;
    }
    if (states[member] == State.UNKNOWN || update.incarnation() > incarnations[member]) {
      return true;
    }
    return update.incarnation() == incarnations[member]
        && update.state().ordinal() > states[member].ordinal();
  }

  /** Whether an update suspects a member in the incarnation in which it is suspected already. */
  boolean isSameSuspicion(MemberUpdate update) {
    return update.state() == State.SUSPECT && states[update.member()] == State.SUSPECT
        && update.incarnation() == incarnations[update.member()];
  }

  /** Sets a member's state; true if the digest has changed. */
  boolean set(int member, State state, long incarnation, long now) {
    long before = digest;
    digest -= digestOf(member);
    if (states[member] == State.FAILED || states[member] == State.LEFT) {
      unavailableAtTicks[member] = now;
    }
    states[member] = state;
    incarnations[member] = incarnation;
    digest += digestOf(member);
    version++;
    return digest != before;
  }

  /**
   * Two views are the same where they hold the same members live, and the others failed or left in
   * the same incarnations. Guards against views that never agree: a large fleet on a lossy network
   * always has some suspicion or refutation on its way, so neither suspicions nor the incarnations
   * of live members count.
   */
  private long digestOf(int member) {
    if (states[member] == State.UNKNOWN) {
      return 0;
    }
    long unavailable = incarnations[member] * 0xBF58476D1CE4E5B9L + states[member].ordinal();
    long mixed = member * 0x9E3779B97F4A7C15L
        + (isLive(member) ? State.ALIVE.ordinal() : unavailable);
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }

  /** The other members that are live, in random order. */
  List<Integer> shuffledLivePeers(SplittableRandom random) {
    return shuffledPeers(true, random);
  }

  /** The other members that are failed or unknown, in random order. */
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
