package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/** What the instance has learned of a frontend. */
final class RequestClassStats {
  final GatewaySettings.RequestClass requestClass;
  double ticksPerUnit, recentAttemptTicks; // mean time a unit takes; of a dispatch lately
  long usualTimeoutTicks; // the wait that most tries come with: first ones; found by majority vote
  long votes;

  RequestClassStats(GatewaySettings.RequestClass rule) { this.requestClass = rule; }

  boolean isUsualTimeout(long left, long tick) {
    if (votes == 0) usualTimeoutTicks = left;
    boolean usual = Math.abs(left - usualTimeoutTicks) <= tick;
    votes = usual ? Math.min(PolicyEngine.VOTES, votes + 1) : votes - 1;
    return usual;
  }
}
