package saltlatch.membership;

import java.util.BitSet;
import saltlatch.api.GatewayEvent.MemberState;
import saltlatch.api.GatewayEvent.MembershipChanged;
import saltlatch.api.GossipMessage;

/**
 * Which part of a quota this node may use while the counter is silent.
 *
 * <p>A customer's quota is divided evenly by its set of nodes: {@code setWidth} members from {@code
 * firstNode} on, whoever lives. Of an even share a fixed part is the floor, which no other member
 * ever uses; the rest is the surplus, which a member gives up by its own clock when its lease runs
 * out, and which others take over only later ({@link QuotaLeases}). Where nodes gossip, those that
 * reach exactly each other form a pool and use the sum of their shares.
 *
 * <p>Invariant: the parts of a quota in use by all nodes never sum above one, but for the time that
 * a pool takes to notice a split. Shares are parts of a quota, 0 to 1; times are ticks. No I/O and
 * no clock; the policy's one thread calls it. docs/member-design.md has the proof.
 */
public final class QuotaShares {
  /** A node cut off serves a little, and a dead one strands no more than that. */
  static final double FLOOR_FRACTION = 0.25;

  private final int ownIndex;
  private final int memberCount;
  // by member
  private final long[] receivedAtTicks; // of its last gossip; 0: none came
  private final GossipMessage.Reachability[] reachability; // what it said last; null: nothing
  private MembershipChanged view;

  /** Shares of a fleet; {@link #update} must come before any other call. */
  public QuotaShares(int ownIndex, int memberCount) {
    this.ownIndex = ownIndex;
    this.memberCount = memberCount;
    receivedAtTicks = new long[memberCount];
    reachability = new GossipMessage.Reachability[memberCount];
  }

  /** Takes in what membership knows of the fleet. */
  public void update(MembershipChanged event) {
    view = event;
  }

  /** Nodes by which what all may do together is divided. */
  public int divisorNodeCount() {
    return view.nodeCount();
  }

  /** Whether a member is live, so that gossip may reach it. */
  public boolean isLive(int member) {
    return view.states().get(member) == MemberState.LIVE;
  }

  private boolean holdsLease(long now) {
    return now < view.leaseUntilTicks();
  }

  private boolean holdsTakeover(long now) {
    return holdsLease(now) && now < view.takeoverUntilTicks();
  }

  /** This node's own part of a customer's quota; 0 if it isn't of the customer's set. */
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

  private int memberOfSet(int firstNode, int place) {
    return (firstNode + place) % memberCount;
  }

  /** What each live member of the set takes over of those that are gone, in even shares. */
  private double takenSurplus(int firstNode, int setWidth) {
    int live = 0;
    int takenOver = 0;
    for (int place = 0; place < Math.min(setWidth, memberCount); place++) {
      MemberState state = view.states().get(memberOfSet(firstNode, place));
      live += state == MemberState.LIVE ? 1 : 0;
      takenOver += state == MemberState.TAKEN_OVER ? 1 : 0;
    }
    return live == 0 ? 0 : (1 - FLOOR_FRACTION) * takenOver / live;
  }

  /**
   * Takes in a peer's gossip.
   *
   * @param sent null from a version of the software that does not say whom it reaches
   */
  public void recordGossip(long now, int sender, GossipMessage.Reachability sent) {
    receivedAtTicks[sender] = now;
    reachability[sender] = sent;
  }

  /** This node and those whose gossip came lately. */
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
   * What this node's gossip says of whom it reaches; null in a fleet too large for that.
   *
   * @param validityTicks for how long a peer's gossip shows that it is reachable
   */
  public GossipMessage.Reachability reachability(long now, long validityTicks) {
    return memberCount > GossipMessage.MAX_NODES_WITH_REACHABILITY ? null
        : new GossipMessage.Reachability(reachableNodes(now, validityTicks), holdsLease(now),
            holdsTakeover(now));
  }

  /**
   * The part of a quota that this node's pool may use: the sum of the shares of those members of
   * the set that reach exactly each other; at least this node's own.
   *
   * <p>Guards against a share lent to two sides of a split: equal sets of reachable nodes are a
   * partition, so a member that bridges the sides belongs to neither pool.
   */
  public double pooledShare(long now, long validityTicks, int firstNode, int setWidth) {
    if (!inSet(ownIndex, firstNode, setWidth)) {
      return 0;
    }
    BitSet reachable = reachableNodes(now, validityTicks);
    double surplus = holdsTakeover(now) ? takenSurplus(firstNode, setWidth) : 0;
    double sum = share(holdsLease(now), surplus, setWidth);
    for (int place = 0; place < Math.min(setWidth, memberCount); place++) {
      int member = memberOfSet(firstNode, place);
      GossipMessage.Reachability sent = reachability[member];
      if (member != ownIndex && reachable.get(member) && sent != null
          && equalInSet(reachable, sent.reachableNodes(), firstNode, setWidth)) {
        sum += share(sent.holdsLease(), sent.holdsTakeover() ? surplus : 0, setWidth);
      }
    }
    return Math.min(1, sum);
  }

  private boolean equalInSet(BitSet some, BitSet others, int firstNode, int setWidth) {
    for (int place = 0; place < Math.min(setWidth, memberCount); place++) {
      int member = memberOfSet(firstNode, place);
      if (some.get(member) != others.get(member)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Members of the set that still count as reachable, but whose last gossip is overdue.
   *
   * @param overdueTicks  age above which gossip is overdue
   * @param validityTicks age above which the member does not count as reachable any more
   */
  public int overdueNodeCount(long now, long overdueTicks, long validityTicks, int firstNode,
      int setWidth) {
    int overdue = 0;
    for (int place = 0; place < Math.min(setWidth, memberCount); place++) {
      int member = memberOfSet(firstNode, place);
      long ageTicks = now - receivedAtTicks[member];
      boolean received = member != ownIndex && receivedAtTicks[member] > 0;
      overdue += received && ageTicks > overdueTicks && ageTicks <= validityTicks ? 1 : 0;
    }
    return overdue;
  }
}
