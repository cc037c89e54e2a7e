package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.api.GatewaySettings;

/**
 * What an app server that has just started may be sent. Inputs: its start, the deployment's
 * warm-up rule, the units this node sends. Times are in ticks, the budget in units.
 *
 * <p>Its capacity rises evenly from the rule's initial part to 1 over the warm-up time. Besides, it
 * has a budget: in each window of the rule a part of what a server carries on average, times the
 * rule's factor and its capacity. A node's part of the budget is a rate, and each node begins at a
 * random place on the way to its first request. Guards against a hundred nodes, each with a part
 * below one request, sending it one each. Harms a server that could take more while it warms up.
 */
final class SlowStart {
  /** Part of the budget that is used: so the rule holds in 99 of 100 draws. */
  private static final double BUDGET_FRACTION = 0.85;

  private final GatewaySettings.Limits limits;
  private final SplittableRandom random;
  /** Units sent to servers; decays over the rule's window. */
  private double sentUnits;
  /** Units of requests that wanted a first attempt; decays likewise. */
  private double wantedUnits;

  SlowStart(GatewaySettings.Limits limits, SplittableRandom random) {
    this.limits = limits;
    this.random = random;
  }

  /** Part of its full capacity that a server has now, 1 once it is warm. */
  double capacity(ServerState server, long now) {
    long age = now - server.startedAtTicks;
    if (server.startedAtTicks <= 0 || age >= limits.warmUpTicks()) {
      return 1;
    }
    return limits.initialCapacity()
        + (1 - limits.initialCapacity()) * Math.max(0, age) / limits.warmUpTicks();
  }

  boolean isWarmingUp(ServerState server, long now) {
    return capacity(server, now) < 1;
  }

  /** A server has started, or is first known to have: its budget begins. */
  void beginWarmUp(ServerState server, long now) {
    server.warmUpBudgetUnits = random.nextDouble();
    server.warmUpBudgetAtTicks = now;
  }

  /**
   * Whether a server may be sent a request now; refills its budget.
   *
   * @param readyServers servers that take requests
   */
  boolean allows(ServerState server, int readyServers, long now) {
    double capacity = capacity(server, now);
    if (capacity >= 1) {
      return true;
    }
    // By number, not by capacity: where most servers warm up, each of the few warm ones would seem
    // to carry much.
    double carriedUnits = Math.max(sentUnits, wantedUnits) / Math.max(1, readyServers);
    double budgetUnits = BUDGET_FRACTION * limits.warmUpBudgetFactor() * capacity * carriedUnits;
    double gainedUnits = budgetUnits * (now - server.warmUpBudgetAtTicks)
        / Math.max(1, limits.warmUpWindowTicks());
    server.warmUpBudgetUnits = Math.min(Math.max(1, budgetUnits),
        server.warmUpBudgetUnits + gainedUnits);
    server.warmUpBudgetAtTicks = now;
    return server.warmUpBudgetUnits >= 1;
  }

  /** A request wants its first attempt. */
  void recordRequested(double units) {
    wantedUnits += units;
  }

  /** An attempt starts; charged to the server's budget, warm or not. */
  void recordSent(ServerState server, double units) {
    sentUnits += units;
    server.warmUpBudgetUnits -= units;
  }

  /** Called once each housekeeping period. */
  void decay() {
    double factor = Math.exp(
        -HousekeepingSchedule.PERIOD_TICKS / Math.max(1.0, (double) limits.warmUpWindowTicks()));
    sentUnits *= factor;
    wantedUnits *= factor;
  }
}
