package saltlatch.membership;

import java.util.Arrays;

/**
 * Computes how long this node may use its full share of quotas, and how long it may use the surplus
 * that it takes over from others.
 *
 * <p>Both depend on direct acks of this node's probes, and count from the sending of the probe by
 * this node's clock. The node keeps its surplus while at least half of the members, itself
 * included, have granted it a lease that has not expired. It takes over others' surplus while more
 * than half of the members, itself included, have answered within a lease with a view equal to its
 * own; the surplus of failed members only after they have done so without a gap for
 * {@link MembershipTimings#leaseExpiryTicks} (W). Times are in ticks.
 *
 * <p>Guards against a quota that is used twice during a partition: the members on one side would
 * take over the surplus of a member that they consider failed while it still runs on the other
 * side. Any half and any majority of the members have a member in common, and that member cannot
 * have given both answers (docs/member-design.md has the proof). Drawback: if half of a fleet is
 * dead, the other half cannot distinguish that from a partition, and gives up its surplus.
 */
final class QuotaLeases {
  private static final long NO_EQUAL_VIEW = -1;

  private final MembershipTimings timings;
  // each by member
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

  /** Clears the records of equal views after this node's view has changed. */
  void viewChanged() {
    Arrays.fill(equalViewSinceTicks, NO_EQUAL_VIEW);
  }

  /**
   * Records a direct ack of a probe.
   *
   * @param sentAt      when the probe was sent
   * @param grantsLease whether the member grants a lease to this node
   * @param equalView   whether the member's view equals this node's
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

  /** Returns until when this node keeps its surplus if no further ack is received. */
  long leaseUntilTicks() {
    return quorumUntil(grantedUntilTicks.clone(), (timings.memberCount() + 1) / 2 - 1);
  }

  /**
   * Returns until when this node may use the surplus of others if no further ack is received, or 0
   * if it may not use it.
   *
   * @param minEqualTicks how long the views of a majority must have been equal to this node's: 0
   *                      for the surplus of members that left, W for the surplus of failed members
   */
  long takeoverUntilTicks(long now, long minEqualTicks) {
    long[] untilTicks = new long[timings.memberCount()];
    for (int member = 0; member < untilTicks.length; member++) {
      if (equalViewSinceTicks[member] != NO_EQUAL_VIEW
          && now - equalViewSinceTicks[member] >= minEqualTicks) {
        untilTicks[member] = equalViewProbeSentAtTicks[member] + timings.leaseTicks();
      }
    }
    return quorumUntil(untilTicks, timings.memberCount() / 2);
  }

  /** Returns until when at least the given number of members' times have not passed. */
  private static long quorumUntil(long[] untilTicks, int quorum) {
    if (quorum <= 0) {
      return Long.MAX_VALUE;
    }
    Arrays.sort(untilTicks);
    return untilTicks[untilTicks.length - quorum];
  }
}
