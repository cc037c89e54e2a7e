package saltlatch.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import saltlatch.membership.MembershipMessage.MemberUpdate;
import saltlatch.membership.MembershipMessage.State;

/**
 * Which updates are piggybacked on a datagram: SWIM's infection-style dissemination.
 *
 * <p>A change is sent {@link MembershipTimings#retransmitLimit} times, the least sent first.
 * Invariant: a member is pending if and only if it has sends left.
 *
 * <p>Guards against views that stay different because all copies of an update were lost: where a
 * peer's digest differs, the rest of the datagram is filled with pieces of the whole view, in turn.
 */
final class Dissemination {
  private final MembershipTimings timings;
  private final MemberTable table;
  private final SuspicionTimer[] suspicions;
  private final SplittableRandom random;
  private final int[] remainingSends;
  private final List<Integer> pending = new ArrayList<>();
  private final Set<Integer> peersWithOtherView = new HashSet<>();
  private int viewCursor;

  Dissemination(MembershipTimings timings, MemberTable table, SuspicionTimer[] suspicions,
      SplittableRandom random) {
    this.timings = timings;
    this.table = table;
    this.suspicions = suspicions;
    this.random = random;
    remainingSends = new int[table.size()];
  }

  /** A member's state has changed: the update is to be sent. */
  void announce(int member) {
    if (remainingSends[member] == 0) {
      pending.add(member);
    }
    remainingSends[member] = timings.retransmitLimit();
  }

  /** A peer's datagram has carried its digest. */
  void compareDigest(int peer, long digest) {
    if (digest == table.digest()) {
      peersWithOtherView.remove(peer);
    } else {
      peersWithOtherView.add(peer);
    }
  }

  /**
   * The updates for a datagram to a peer. If the peer is held suspect or failed, that comes first,
   * so that it can refute it at once.
   */
  List<MemberUpdate> updatesFor(int peer) {
    List<MemberUpdate> updates = new ArrayList<>();
    if (table.state(peer) == State.SUSPECT || table.state(peer) == State.FAILED) {
      updates.add(updateOf(peer));
    }
    sortPending();
    for (int i = 0; i < pending.size() && updates.size() < MembershipMessage.MAX_UPDATES; i++) {
      int member = pending.get(i);
      remainingSends[member]--;
      if (member != peer || updates.isEmpty()) {
        updates.add(updateOf(member));
      }
    }
    pending.removeIf(member -> remainingSends[member] == 0);
    if (peersWithOtherView.contains(peer)) {
      fillFromView(updates, peer);
    }
    return updates;
  }

  /**
   * The least sent first. Among equals each node begins elsewhere: in a fleet that starts at once
   * all nodes would otherwise send the same few updates.
   */
  private void sortPending() {
    int start = pending.size() > MembershipMessage.MAX_UPDATES ? random.nextInt(table.size()) : 0;
    pending.sort(Comparator.comparingInt((Integer member) -> -remainingSends[member])
        .thenComparing(member -> (member + start) % table.size()));
  }

  private void fillFromView(List<MemberUpdate> updates, int peer) {
    for (int i = 0; i < table.size() && updates.size() < MembershipMessage.MAX_UPDATES; i++) {
      viewCursor = (viewCursor + 1) % table.size();
      if (table.state(viewCursor) != State.UNKNOWN && viewCursor != peer) {
        updates.add(updateOf(viewCursor));
      }
    }
  }

  private MemberUpdate updateOf(int member) {
    State state = table.state(member);
    int reporter = state == State.SUSPECT ? suspicions[member].reporter() : member;
    return new MemberUpdate(member, state, table.incarnation(member), reporter);
  }
}
