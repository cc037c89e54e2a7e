package saltlatch.membership;

import java.util.Arrays;

/**
 * For how long this node may use its whole share of quotas, and what others left of theirs.
 *
 * <p>Both rest on direct answers to this node's own probes, counted by its own clock from the
 * sending of the probe. It keeps its surplus while at least half of the members (itself among them)
 * vouched for it within a lease. It takes over others' surplus while more than half answered within
 * a lease with this node's own view of the fleet; of failed members only once they did so for a
 * lease without a gap. Times are ticks.
 *
 * <p>Guards against a quota used twice during a split: the side of a dead member's peers would take
 * its share over while it lives on the other side. Any half and any majority share a member, and
 * that member cannot have said both (docs/member-design.md has the proof). Harms a fleet of which
 * half is dead: the rest cannot distinguish that from a split, and gives its surplus up.
 */
final class QuotaLeases {
  private static final long NO_EQUAL_VIEW = -1;

  private final MembershipTimings timings;
  // all by member
  private final long[] grantedUntilTicks;
  private final long[] equalViewSinceTicks;
  private final long[] equalViewProbeSentAtTicks;

  QuotaLeases(MembershipTimings timings) {
    this.timings = timings;
    grantedUntilTicks = new long[timings.memberCount()];
    equalViewSinceTicks = new long[timings.memberCount()];
    equalViewProbeSentAtTicks = new long[timings.memberCount()];
    viewChanged();
  }

  /** This node's own view has changed: nobody has shared the new one yet. */
  void viewChanged() {
    Arrays.fill(equalViewSinceTicks, NO_EQUAL_VIEW);
  }

  /**
   * Takes in a direct answer.
   *
   * @param sentAt    when the probe was sent
   * @param grantsLease   the member has not held this node failed or left for a lease
   * @param equalView its view is this node's
   */
  void recordAnswer(long now, int member, long sentAt, boolean grantsLease, boolean equalView) {
    if (grantsLease) {
      grantedUntilTicks[member] = Math.max(grantedUntilTicks[member],
          sentAt + timings.leaseTicks());
    }
    if (!equalView) {
      equalViewSinceTicks[member] = NO_EQUAL_VIEW;
      return;
    }
    boolean gap = now - equalViewProbeSentAtTicks[member] > timings.leaseTicks();
    if (equalViewSinceTicks[member] == NO_EQUAL_VIEW || gap) {
      equalViewSinceTicks[member] = now;
    }
    equalViewProbeSentAtTicks[member] = sentAt;
  }

  /** Until when this node keeps its surplus if nothing more is received. */
  long leaseUntilTicks() {
    return untilSoMany(grantedUntilTicks.clone(), (timings.memberCount() + 1) / 2 - 1);
  }

  /**
   * Until when this node takes over surplus if nothing more is received; 0: not at all.
   *
   * @param minEqualTicks how long a majority must have shared this node's view: 0 for the surplus
   *                      of members that left, W for that of failed ones
   */
  long takeoverUntilTicks(long now, long minEqualTicks) {
    long[] until = new long[timings.memberCount()];
    for (int member = 0; member < until.length; member++) {
      if (equalViewSinceTicks[member] != NO_EQUAL_VIEW
          && now - equalViewSinceTicks[member] >= minEqualTicks) {
        until[member] = equalViewProbeSentAtTicks[member] + timings.leaseTicks();
      }
    }
    return untilSoMany(until, timings.memberCount() / 2);
  }

  /** Until when at least so many of the members' times run. */
  private static long untilSoMany(long[] until, int members) {
    if (members <= 0) {
      return Long.MAX_VALUE;
    }
    Arrays.sort(until);
    return until[until.length - members];
  }
}
