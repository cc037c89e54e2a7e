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
 * Selects the updates that are piggybacked on a datagram: SWIM's infection-style dissemination.
 *
 * <p>Each change is sent {@link MembershipTimings#retransmitLimit} times; the updates sent least
 * often are sent first. Invariant: a member is pending if and only if it has sends remaining.
 *
 * <p>Guards against views that stay different because every copy of an update was lost: if a peer's
 * digest differs, the remaining space of each datagram to it is filled with members of the complete
 * view, in rotation.
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

  /** Schedules the update of a member whose state has changed. */
  void announce(int member) {
    if (remainingSends[member] == 0) {
      pending.add(member);
    }
    remainingSends[member] = timings.retransmitLimit();
  }

  /** Compares the digest received from a peer with the digest of this node's view. */
  void compareDigest(int peer, long digest) {
    if (digest == table.digest()) {
      peersWithOtherView.remove(peer);
    } else {
      peersWithOtherView.add(peer);
    }
  }

  /**
   * Returns the updates for a datagram to a peer. If this node considers the peer suspect or
   * failed, that update is the first, so that the peer can refute it at once.
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
   * Sorts the pending members by remaining sends, the least sent first. Ties are ordered from a
   * random member on: otherwise, if all nodes of a fleet start at the same time, all of them would
   * send the same few updates.
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
