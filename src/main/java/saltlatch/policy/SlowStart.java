package saltlatch.policy;

import java.util.SplittableRandom;
import saltlatch.api.GatewaySettings;

/**
 * Limits the load that is sent to an app server that has just started. Inputs are the server's
 * start time, the warm-up settings of the deployment ({@link GatewaySettings.Limits}) and the units
 * that this node sends. Times are in ticks, budgets in units.
 *
 * <p>The server's capacity, a fraction of its full capacity, rises linearly from the initial
 * capacity to 1 over the warm-up time. In addition, the server has a budget for each warm-up
 * window: a fraction of the units that this node sends to an average server, times the warm-up
 * budget factor and the server's capacity. The budget refills continuously, and each node starts
 * with a random fraction of one request. Guards against a hundred nodes that each have a budget of
 * less than one request and each send the server one request at once. The rule does harm to a
 * server that could accept more load while it warms up.
 */
final class SlowStart {
  /** Fraction of the budget that is used, so that the limit holds in 99 of 100 random draws. */
  private static final double BUDGET_FRACTION = 0.85;

  private final GatewaySettings.Limits limits;
  private final SplittableRandom random;
  /** Units sent to servers; decays exponentially over the warm-up window. */
  private double sentUnits;
  /** Units of requests for which a first attempt was requested; decays in the same way. */
  private double requestedUnits;

  SlowStart(GatewaySettings.Limits limits, SplittableRandom random) {
    this.limits = limits;
    this.random = random;
  }

  /** Returns the server's current fraction of its full capacity, 1 once it has warmed up. */
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

  /** Initializes the budget of a server that has restarted or is new in the endpoint list. */
  void beginWarmUp(ServerState server, long now) {
    server.warmUpBudgetUnits = random.nextDouble();
    server.warmUpBudgetAtTicks = now;
  }

  /**
   * Refills the server's budget and returns whether a request may be sent to the server now.
   *
   * @param readyServers number of servers that accept requests
   */
  boolean allows(ServerState server, int readyServers, long now) {
    double capacity = capacity(server, now);
    if (capacity >= 1) {
      return true;
    }
    // Divides by the number of servers, not by their total capacity: while most servers warm up,
    // the latter would overestimate the load of a warm server.
    double meanUnitsPerServer = Math.max(sentUnits, requestedUnits) / Math.max(1, readyServers);
    double budgetUnits = BUDGET_FRACTION * limits.warmUpBudgetFactor() * capacity
        * meanUnitsPerServer;
    double refillUnits = budgetUnits * (now - server.warmUpBudgetAtTicks)
        / Math.max(1, limits.warmUpWindowTicks());
    server.warmUpBudgetUnits = Math.min(Math.max(1, budgetUnits),
        server.warmUpBudgetUnits + refillUnits);
    server.warmUpBudgetAtTicks = now;
    return server.warmUpBudgetUnits >= 1;
  }

  /** Records that a first attempt was requested, even if no server could be chosen. */
  void recordRequested(double units) {
    requestedUnits += units;
  }

  /** Charges an attempt that starts to the server's budget, whether or not the server warms up. */
  void recordSent(ServerState server, double units) {
    sentUnits += units;
    server.warmUpBudgetUnits -= units;
  }

  /** Decays the sums of units; called once in each housekeeping period. */
  void decay() {
    double factor = Math.exp(
        -HousekeepingSchedule.PERIOD_TICKS / Math.max(1.0, (double) limits.warmUpWindowTicks()));
    sentUnits *= factor;
    requestedUnits *= factor;
  }
}
