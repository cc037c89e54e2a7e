package saltlatch.membership;

import java.util.BitSet;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.api.GossipMessage;

/**
 * Computes which share of a quota this node may use while the counter does not answer.
 *
 * <p>A customer's quota is divided evenly among its set of nodes: {@code setWidth} members starting
 * at {@code firstNode}, whether they are live or not. A fixed part of each even share is the floor,
 * which no other member ever uses. The rest is the surplus, which a member gives up by its own
 * clock when its lease expires, and which others take over only after that ({@link QuotaLeases}).
 * If nodes gossip, the nodes whose sets of reachable nodes are equal form a pool and use the sum of
 * their shares.
 *
 * <p>Invariant: the shares of a quota that all nodes use never sum to more than 1, except during
 * the time that a pool needs to detect a partition; docs/member-design.md has the proof. Shares are
 * fractions of a quota from 0 to 1; times are in ticks. No I/O and no clock; only the policy's
 * thread calls it.
 */
public final class QuotaShares {
  /**
   * Fraction of an even share that is its floor: an isolated node can still serve some requests,
   * and a dead node leaves no more than this fraction of its share unused.
   */
  static final double FLOOR_FRACTION = 0.25;

  private final int ownIndex;
  private final int memberCount;
  // by member
  private final long[] receivedAtTicks; // arrival of its last gossip, 0 before the first
  private final GossipMessage.Reachability[] reachability; // from its last gossip, null if none
  private MembershipChanged view;

  /** Creates the shares of a node; {@link #update} must be called before any other method. */
  public QuotaShares(int ownIndex, int memberCount) {
    this.ownIndex = ownIndex;
    this.memberCount = memberCount;
    receivedAtTicks = new long[memberCount];
    reachability = new GossipMessage.Reachability[memberCount];
  }

  /** Updates the shares by membership's current view of the fleet. */
  public void update(MembershipChanged event) {
    view = event;
  }

  /** Returns the number of nodes by which a limit for the complete fleet is divided. */
  public int divisorNodeCount() {
    return view.nodeCount();
  }

  /** Returns whether a member is live, so that gossip can reach it. */
  public boolean isLive(int member) {
    return view.states().get(member) == MemberState.LIVE;
  }

  private boolean holdsLease(long now) {
    return now < view.leaseUntilTicks();
  }

  private boolean holdsTakeover(long now) {
    return holdsLease(now) && now < view.takeoverUntilTicks();
  }

  /**
   * Returns this node's own share of a customer's quota, or 0 if the node is not in the customer's
   * set.
   */
  public double ownShare(long now, int firstNode, int setWidth) {
    if (!inSet(ownIndex, firstNode, setWidth)) {
      return 0;
    }
    double surplus = holdsTakeover(now) ? takenSurplus(firstNode, setWidth) : 0;
    return share(holdsLease(now), surplus, setWidth);
  }

  private static double share(boolean holdsLease, double takenSurplus, int setWidth) {
    return ((holdsLease ? 1 : FLOOR_FRACTION) + takenSurplus) / setWidth;
  }

  private boolean inSet(int member, int firstNode, int setWidth) {
    return Math.floorMod(member - firstNode, memberCount) < setWidth;
  }

  private int memberAt(int firstNode, int position) {
    return (firstNode + position) % memberCount;
  }

  /**
   * Returns the surplus that each live member of the set takes over from the members that are taken
   * over, in units of an even share.
   */
  private double takenSurplus(int firstNode, int setWidth) {
    int live = 0;
    int takenOver = 0;
    for (int position = 0; position < Math.min(setWidth, memberCount); position++) {
      MemberState state = view.states().get(memberAt(firstNode, position));
      live += state == MemberState.LIVE ? 1 : 0;
      takenOver += state == MemberState.TAKEN_OVER ? 1 : 0;
    }
    return live == 0 ? 0 : (1 - FLOOR_FRACTION) * takenOver / live;
  }

  /**
   * Records the gossip of a peer.
   *
   * @param sent the nodes that the peer reaches, or null from a software version that does not send
   *             them
   */
  public void recordGossip(long now, int sender, GossipMessage.Reachability sent) {
    receivedAtTicks[sender] = now;
    reachability[sender] = sent;
  }

  /** Returns this node and the nodes whose last gossip is not older than the validity. */
  private BitSet reachableNodes(long now, long validityTicks) {
    BitSet reachable = new BitSet(memberCount);
    reachable.set(ownIndex);
    for (int member = 0; member < memberCount; member++) {
      if (receivedAtTicks[member] > 0 && now - receivedAtTicks[member] <= validityTicks) {
        reachable.set(member);
      }
    }
    return reachable;
  }

  /**
   * Returns the reachability that this node's gossip carries, or null if the fleet has more than
   * {@link GossipMessage#MAX_NODES_WITH_REACHABILITY} members.
   *
   * @param validityTicks how long a peer counts as reachable after its gossip
   */
  public GossipMessage.Reachability reachability(long now, long validityTicks) {
    return memberCount > GossipMessage.MAX_NODES_WITH_REACHABILITY ? null
        : new GossipMessage.Reachability(reachableNodes(now, validityTicks), holdsLease(now),
            holdsTakeover(now));
  }

  /**
   * Returns the share of a quota that this node's pool may use: the sum of the shares of the
   * members of the set that reach each other and no others of the set, and at least this node's own
   * share.
   *
   * <p>Guards against a share that both sides of a network partition use: nodes with equal sets of
   * reachable nodes form disjoint pools, so a member that bridges the two sides belongs to the pool
   * of neither side.
   */
  public double pooledShare(long now, long validityTicks, int firstNode, int setWidth) {
    if (!inSet(ownIndex, firstNode, setWidth)) {
      return 0;
    }
    BitSet reachable = reachableNodes(now, validityTicks);
    double surplus = holdsTakeover(now) ? takenSurplus(firstNode, setWidth) : 0;
    double sum = share(holdsLease(now), surplus, setWidth);
    for (int position = 0; position < Math.min(setWidth, memberCount); position++) {
      int member = memberAt(firstNode, position);
      GossipMessage.Reachability sent = reachability[member];
      if (member != ownIndex && reachable.get(member) && sent != null
          && equalInSet(reachable, sent.reachableNodes(), firstNode, setWidth)) {
        sum += share(sent.holdsLease(), sent.holdsTakeover() ? surplus : 0, setWidth);
      }
    }
    return Math.min(1, sum);
  }

  private boolean equalInSet(BitSet first, BitSet second, int firstNode, int setWidth) {
    for (int position = 0; position < Math.min(setWidth, memberCount); position++) {
      int member = memberAt(firstNode, position);
      if (first.get(member) != second.get(member)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the number of members of the set that count as reachable but whose last gossip is
   * overdue.
   *
   * @param overdueTicks  age above which gossip is overdue
   * @param validityTicks age above which the member no longer counts as reachable
   */
  public int overdueNodeCount(long now, long overdueTicks, long validityTicks, int firstNode,
      int setWidth) {
    int overdue = 0;
    for (int position = 0; position < Math.min(setWidth, memberCount); position++) {
      int member = memberAt(firstNode, position);
      long ageTicks = now - receivedAtTicks[member];
      boolean received = member != ownIndex && receivedAtTicks[member] > 0;
      overdue += received && ageTicks > overdueTicks && ageTicks <= validityTicks ? 1 : 0;
    }
    return overdue;
  }
}
