package saltlatch.membership;

import java.util.Arrays;

/**
 * For how long this node may use its whole share of quotas, and what others left of theirs, by its
 * own clock. Both rest on direct answers to its own probes, counted from when the probe was sent.
 * It holds its surplus while at least half of the roster (itself counted) answered within a lease
 * that they have not held it failed or left for longer than a lease. It takes others' surplus while
 * more than half answered within a lease with its own view, of those failed for longer than a lease
 * without a gap. Any half and any majority share a member, which cannot have said both
 * (docs/member-design.md).
 */
final class QuotaLeases {
  private static final long NEVER = -1;

  private final MembershipTimings terms;
  private final long[] heldUntil; // by member: its word that it holds this node alive runs so long
  private final long[] sameSince; // its view has been this node's own since; NEVER: it is not
  private final long[] sameSent; // sending of the last probe that it answered so

  QuotaLeases(MembershipTimings terms) {
    this.terms = terms;
    heldUntil = new long[terms.members()];
    sameSince = new long[terms.members()];
    sameSent = new long[terms.members()];
    viewChanged();
  }

  /** This node's own view has changed: nobody has shared the new one yet. */
  void viewChanged() {
    Arrays.fill(sameSince, NEVER);
  }

  /**
   * {@code vouches}: it has not held this node failed or left for a lease; {@code same}: its view
   * is this node's.
   */
  void recordAnswer(long now, int by, long sentAt, boolean vouches, boolean same) {
    if (vouches) heldUntil[by] = Math.max(heldUntil[by], sentAt + terms.leaseTicks());
    if (!same) {
      sameSince[by] = NEVER;
      return;
    }
    if (sameSince[by] == NEVER || now - sameSent[by] > terms.leaseTicks()) sameSince[by] = now;
    sameSent[by] = sentAt;
  }

  /** Until when this node holds its surplus if nothing more is heard. */
  long leaseUntilTicks() {
    return least(heldUntil.clone(), (terms.members() + 1) / 2 - 1);
  }

  /**
   * Until when it takes the surplus of those that left, or with {@code wait} also of those that
   * failed; 0: not at all.
   */
  long takeoverUntilTicks(long now, long wait) {
    long[] until = new long[terms.members()];
    for (int i = 0; i < until.length; i++) {
      if (sameSince[i] != NEVER && now - sameSince[i] >= wait)
        until[i] = sameSent[i] + terms.leaseTicks();
    }
    return least(until, terms.members() / 2);
  }

  /** The least of the {@code others} greatest: until then so many words hold. */
  private static long least(long[] until, int others) {
    if (others <= 0) return Long.MAX_VALUE;
    Arrays.sort(until);
    return until[until.length - others];
  }
}
