package saltlatch.node;

import saltlatch.api.Ticks;
import saltlatch.membership.FleetView;
import saltlatch.membership.Membership;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipTimings;
import saltlatch.node.NodeHistory.QuotaShareLevel;

/**
 * Membership's lines of INFO: the one class that knows their names, and the word for a quota
 * share's level, which history files use too. Stateless.
 */
final class MembershipInfo {
  private MembershipInfo() {}

  /** The word for a quota share's level. */
  static String levelName(QuotaShareLevel level) {
    return switch (level) {
      case FLOOR -> "floor";
      case FULL -> "whole";
      case TAKEN_OVER -> "more";
    };
  }

  /**
   * All lines; {@code leaseRemainingMs}, {@code takeoverRemainingMs}: what is left of each.
   *
   * @param gossipValidityTicks for how long the policy goes by a peer's gossip
   */
  static String text(FleetView view, QuotaShareLevel level, Membership membership,
      long leaseRemainingMs, long takeoverRemainingMs, MembershipTimings timings,
      long gossipValidityTicks) {
    return "members_standing=" + view.infoName() + "\nmembers_share=" + levelName(level)
        + "\nmembers_live=" + membership.liveCount() + "\nmembers_failed="
        + membership.countInState(MembershipMessage.State.FAILED) + "\nmembers_left="
        + membership.countInState(MembershipMessage.State.LEFT) + "\nmembers_view="
        + membership.version() + "\nmembers_digest=" + Long.toHexString(membership.digest())
        + "\nmembers_health=" + membership.localHealthMultiplier() + "\nmembers_holds_ms="
        + leaseRemainingMs + "\nmembers_takes_ms=" + takeoverRemainingMs
        + timingLines(timings, gossipValidityTicks);
  }

  private static String timingLines(MembershipTimings timings, long gossipValidityTicks) {
    return "\nmembers_t1_ms=" + ms(timings.failureDetectionTicks()) + "\nmembers_t2_ms="
        + ms(timings.falseFailureTicks()) + "\nmembers_t3_ms=" + ms(timings.convergenceTicks())
        + "\nmembers_lease_ms=" + ms(timings.leaseTicks()) + "\nmembers_takeover_ms="
        + ms(timings.failureDetectionTicks() + timings.takeoverTicks()) + "\nmembers_b="
        + (timings.memberCount() - 1) + "\nmembers_d_ms=" + ms(gossipValidityTicks) + "\n";
  }

  private static long ms(long ticks) {
    return ticks / Ticks.PER_MILLISECOND;
  }
}
