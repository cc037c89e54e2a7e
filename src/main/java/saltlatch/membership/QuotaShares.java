package saltlatch.membership;

import java.util.BitSet;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.api.GossipMessage;

/**
 * Which part of a quota this node may go by while the counter is silent. Shares are parts of the
 * quota in service; a customer's are divided by its set of nodes, so many of the roster from a
 * first one on, whoever lives. A member's even share is its floor, which is never another's, and
 * its surplus, which it gives up by its own clock once it is not sure of the fleet any more, and
 * which the others take over only after that (Leases tells when). Where nodes tell each other what
 * they pass, those that hear exactly each other go by the sum of their shares, and nobody belongs
 * to two such pools. No I/O, no clock of its own; docs/member-design.md has the proof.
 */
public final class QuotaShares {
  // of an even share: one cut off serves a little, the dead strand no more than that
  static final double FLOOR_FRACTION = 0.25;

  private final int me;
  private final int nodes;
  private final long[] heardAt; // by member; 0: never
  private final GossipMessage.Reachability[] recordGossip; // what each said last of whom it hears
  private MembershipChanged view;

  public QuotaShares(int me, int nodes) {
    this.me = me;
    this.nodes = nodes;
    heardAt = new long[nodes];
    recordGossip = new GossipMessage.Reachability[nodes];
  }

  public void update(MembershipChanged m) {
    view = m;
  }

  /** Nodes that what all may do together is divided by. */
  public int divisorNodes() {
    return view.nodeCount();
  }

  /** Whether it is worth telling that member anything. */
  public boolean isLive(int member) {
    return view.states().get(member) == MemberState.LIVE;
  }

  private boolean holds(long now) {
    return now < view.leaseUntilTicks();
  }

  private boolean takes(long now) {
    return holds(now) && now < view.takeoverUntilTicks();
  }

  /**
   * This node's own part of the quota of a customer whose set is {@code width} nodes from
   * {@code first} on.
   */
  public double ownShare(long now, int first, int width) {
    if (!inSet(me, first, width)) return 0;
    return part(holds(now), takes(now) ? taken(first, width) : 0, width);
  }

  private static double part(boolean holds, double taken, int width) {
    return ((holds ? 1 : FLOOR_FRACTION) + taken) / width;
  }

  private boolean inSet(int member, int first, int width) {
    return Math.floorMod(member - first, nodes) < width;
  }

  /**
   * Of an even share, what each live member of the set has besides its own: the surplus of those
   * that are gone.
   */
  private double taken(int first, int width) {
    int live = 0;
    int gone = 0;
    for (int i = 0; i < Math.min(width, nodes); i++) {
      MemberState life = view.states().get((first + i) % nodes);
      live += life == MemberState.LIVE ? 1 : 0;
      gone += life == MemberState.TAKEN_OVER ? 1 : 0;
    }
    return live == 0 ? 0 : (1 - FLOOR_FRACTION) * gone / live;
  }

  /** A peer was heard; {@code hearing} null: it is from before, and does not say whom it hears. */
  public void recordGossip(long now, int from, GossipMessage.Reachability hearing) {
    heardAt[from] = now;
    recordGossip[from] = hearing;
  }

  /** Whom this node hears: itself and who was heard within that time. */
  private BitSet hears(long now, long within) {
    BitSet all = new BitSet(nodes);
    all.set(me);
    for (int i = 0; i < nodes; i++) if (heardAt[i] > 0 && now - heardAt[i] <= within) all.set(i);
    return all;
  }

  /** What this node says of whom it hears; null in a fleet too large for that. */
  public GossipMessage.Reachability reachability(long now, long within) {
    return nodes > GossipMessage.MAX_NODES_WITH_REACHABILITY ? null
        : new GossipMessage.Reachability(hears(now, within), holds(now), takes(now));
  }

  /**
   * The part of a quota that those of the customer's set go by who hear exactly each other; at
   * least this node's own. Equal sets of whom they hear make it a partition: no share is lent to
   * two sides, whatever links are cut.
   */
  public double pooledShare(long now, long within, int first, int width) {
    if (!inSet(me, first, width)) return 0;
    BitSet mine = hears(now, within);
    double taken = takes(now) ? taken(first, width) : 0;
    double sum = part(holds(now), taken, width);
    for (int i = 0; i < Math.min(width, nodes); i++) {
      int member = (first + i) % nodes;
      if (member == me || !mine.get(member) || recordGossip[member] == null) continue;
      if (same(mine, recordGossip[member].reachableNodes(), first, width)) {
        sum += part(recordGossip[member].holdsLease(),
            recordGossip[member].holdsTakeover() ? taken : 0, width);
      }
    }
    return Math.min(1, sum);
  }

  /**
   * Members of the set that still count as heard, but whose last word is older than {@code late}.
   */
  public int overdueNodes(long now, long late, long within, int first, int width) {
    int silent = 0;
    for (int i = 0; i < Math.min(width, nodes); i++) {
      int member = (first + i) % nodes;
      long since = now - heardAt[member];
      silent += member != me && heardAt[member] > 0 && since > late && since <= within ? 1 : 0;
    }
    return silent;
  }

  private boolean same(BitSet a, BitSet b, int first, int width) {
    for (int i = 0; i < Math.min(width, nodes); i++) {
      int member = (first + i) % nodes;
      if (a.get(member) != b.get(member)) return false;
    }
    return true;
  }
}
