package saltlatch.policy;

import saltlatch.api.GatewaySettings;

/**
 * The shortest latency objective and the longest client timeout of all request classes, in ticks.
 *
 * @param shortestObjectiveTicks    the shortest latency objective
 * @param longestClientTimeoutTicks the longest time that a client waits for its answer
 */
record ObjectiveBounds(long shortestObjectiveTicks, long longestClientTimeoutTicks) {

  static ObjectiveBounds of(GatewaySettings settings) {
    long shortestObjective = Long.MAX_VALUE;
    long longestTimeout = 0;
    for (GatewaySettings.RequestClass requestClass : settings.requestClasses()) {
      shortestObjective = Math.min(shortestObjective, requestClass.latencyObjectiveTicks());
      longestTimeout = Math.max(longestTimeout, requestClass.clientTimeoutTicks());
    }
    return new ObjectiveBounds(shortestObjective, longestTimeout);
  }
}
