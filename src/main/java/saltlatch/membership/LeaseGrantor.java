package saltlatch.membership;

import saltlatch.api.Ticks;
import saltlatch.membership.MembershipMessage.State;

/**
 * Decides whether this node grants a lease to a member, which requires that this node has not
 * considered the member failed or left within {@link MembershipTimings#leaseExpiryTicks} (W).
 * Members keep their surplus of quotas while enough others grant them leases
 * ({@link QuotaLeases}).
 *
 * <p>Guards against a node that was restarted and has lost the record that it considered a member
 * failed: with its lease that member would keep a surplus which others have taken over, and the
 * quota would be used twice. A node that has run for W or less therefore grants leases only if all
 * members are known and started at most half of W ago, since then no member can have taken over a
 * surplus. Drawback: while a member of the fleet is missing, a restarted node grants no leases
 * until it has run for W.
 */
final class LeaseGrantor {
  private final MembershipTimings timings;
  private final MemberTable table;
  private final long startedAtTicks;
  private final long firstIncarnationSeconds;

  /** @param firstIncarnation first incarnation of this process: its start time in seconds */
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
    return now - startedAtTicks > timings.leaseExpiryTicks() || allMembersStartedRecently(now);
  }

  private boolean allMembersStartedRecently(long now) {
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
