package saltlatch.node;

import saltlatch.api.Ticks;
import saltlatch.membership.FleetView;
import saltlatch.membership.Membership;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipTimings;
import saltlatch.node.NodeHistory.QuotaShareLevel;

/**
 * Membership's lines of INFO: the one class that knows their names, and the words for a view of the
 * fleet and for a quota share's level, which history files use too. Stateless.
 */
final class MembershipInfo {
  private MembershipInfo() {}

  /** The word for a view of the fleet. */
  static String word(FleetView view) {
    return switch (view) {
      case WHOLE -> "whole";
      case MAJORITY -> "majority";
      case MINORITY -> "minority";
      case ALONE -> "alone";
    };
  }

  /** The word for a quota share's level. */
  static String word(QuotaShareLevel level) {
    return switch (level) {
      case FLOOR -> "floor";
      case WHOLE -> "whole";
      case TAKEN_OVER -> "more";
    };
  }

  /**
   * All lines; {@code leaseMs}, {@code takeoverMs}: what is left of each.
   *
   * @param gossipValidityTicks for how long the policy goes by a peer's gossip
   */
  static String text(FleetView view, QuotaShareLevel level, Membership membership, long leaseMs,
      long takeoverMs, MembershipTimings timings, long gossipValidityTicks) {
    return "members_standing=" + word(view) + "\nmembers_share=" + word(level) + "\nmembers_live="
        + membership.live() + "\nmembers_failed=" + membership.count(MembershipMessage.State.FAILED)
        + "\nmembers_left=" + membership.count(MembershipMessage.State.LEFT) + "\nmembers_view="
        + membership.version() + "\nmembers_digest=" + Long.toHexString(membership.digest())
        + "\nmembers_health=" + membership.health() + "\nmembers_holds_ms=" + leaseMs
        + "\nmembers_takes_ms=" + takeoverMs + timingLines(timings, gossipValidityTicks);
  }

  private static String timingLines(MembershipTimings timings, long gossipValidityTicks) {
    return "\nmembers_t1_ms=" + ms(timings.failedWithin()) + "\nmembers_t2_ms="
        + ms(timings.falselyFailedAtMost()) + "\nmembers_t3_ms=" + ms(timings.equalWithin())
        + "\nmembers_lease_ms=" + ms(timings.lease()) + "\nmembers_takeover_ms="
        + ms(timings.failedWithin() + timings.takenOverWithin()) + "\nmembers_b="
        + (timings.members() - 1) + "\nmembers_d_ms=" + ms(gossipValidityTicks) + "\n";
  }

  private static long ms(long ticks) {
    return ticks / Ticks.PER_MILLISECOND;
  }
}
