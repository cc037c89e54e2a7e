package saltlatch.node;

import saltlatch.api.Ticks;
import saltlatch.membership.FleetView;
import saltlatch.membership.Membership;
import saltlatch.membership.MembershipMessage;
import saltlatch.membership.MembershipTimings;
import saltlatch.node.NodeHistory.QuotaShareLevel;

/**
 * Formats membership's lines of INFO. It is the only class that defines their names and the names
 * of the quota share levels, which history files use as well. Stateless.
 */
final class MembershipInfo {
  private MembershipInfo() {}

  /** Returns the name of a quota share level in INFO and in the history. */
  static String levelName(QuotaShareLevel level) {
    return switch (level) {
      case FLOOR -> "floor";
      case FULL -> "whole";
      case TAKEN_OVER -> "more";
    };
  }

  /**
   * Returns all lines.
   *
   * @param leaseRemainingMs    time until the lease on this node's full share expires
   * @param takeoverRemainingMs time until the lease on taken-over shares expires
   * @param gossipValidityTicks how long the policy uses a peer's gossip after it was received
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
