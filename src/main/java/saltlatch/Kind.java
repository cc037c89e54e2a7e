package saltlatch;

import saltlatch.api.GatewaySettings;

/** What the instance has learned of a frontend. */
final class Kind {
  final GatewaySettings.RequestClass rule;
  double unitTime, recentTime; // mean time a unit takes; of a dispatch lately
  long usualLeft; // the wait that most tries come with: first ones; found by majority vote
  long votes;

  Kind(GatewaySettings.RequestClass rule) { this.rule = rule; }

  boolean isUsual(long left, long tick) {
    if (votes == 0) usualLeft = left;
    boolean usual = Math.abs(left - usualLeft) <= tick;
    votes = usual ? Math.min(Control.VOTES, votes + 1) : votes - 1;
    return usual;
  }
}
