package saltlatch.membership;

import saltlatch.api.Ticks;
import saltlatch.membership.MembershipMessage.State;

/**
 * Whether this node can vouch for a member: that it has not held it failed or left within a lease.
 * Members keep their surplus of quotas while enough others vouch for them ({@link QuotaLeases}).
 *
 * <p>Guards against a node that was restarted and has forgotten that it held a member failed: its
 * vouching would let that member keep a surplus which others have taken over, and the quota would
 * be used twice. A node that has not run for a lease therefore vouches only if all members are
 * known and began lately, since then nobody can have taken anything over. Harms a fleet in which a
 * member is missing: a restarted node's vouches count only after a lease.
 */
final class LeaseGrantor {
  private final MembershipTimings timings;
  private final MemberTable table;
  private final long startedAtTicks;
  private final long firstIncarnationSeconds;

  /** @param firstIncarnation of this process: the second in which it started */
  LeaseGrantor(MembershipTimings timings, MemberTable table, long startedAtTicks,
      long firstIncarnation) {
    this.timings = timings;
    this.table = table;
    this.startedAtTicks = startedAtTicks;
    firstIncarnationSeconds = firstIncarnation;
  }

  boolean grantsLeaseTo(int member, long now) {
    if (!table.isLive(member)
        || now - table.unavailableAtTicks(member) <= timings.leaseExpiryTicks()) {
      return false;
    }
    return now - startedAtTicks > timings.leaseExpiryTicks() || allStartedLately(now);
  }

  private boolean allStartedLately(long now) {
    long nowSeconds = firstIncarnationSeconds + (now - startedAtTicks) / Ticks.PER_SECOND;
    long maxAgeSeconds = timings.leaseExpiryTicks() / 2 / Ticks.PER_SECOND;
    for (int member = 0; member < table.size(); member++) {
      if (table.state(member) == State.UNKNOWN
          || nowSeconds - table.incarnation(member) > maxAgeSeconds) {
        return false;
      }
    }
    return true;
  }
}
