package saltlatch.api;

import java.util.List;

/** What an instance reads at start, decoded once. Times are tenths of a ms, rates units a second. */
public record Site(long seed, int nodes, long tick, Rules rules, Counting counting, Peers peers,
    List<Frontend> frontends, List<Plan> plans) {

  public enum Effect {
    REPLAYABLE,
    UNIQUED,
    NON_REPLAYABLE
  }

  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  public record Frontend(Effect effect, Group group, long remembered, long target, long clientTimeout,
      double value) {}

  /** Rate 0: no such quota; parallel 0: no such cap; ceilingRate 0: no ceiling. */
  public record Plan(double rate, double burst, int parallel, double ceilingRate, double ceilingBurst,
      double price) {}

  public record Rules(boolean mustFollow, boolean mayCancel, int sendCap, boolean mayAdvise,
      long longestPause, boolean marksTries, long cold, double coldFrom, double fallMultiple,
      long fallTime) {}

  public record Counting(boolean open, boolean unitsAfter) {}

  /**
   * This node's number, the datagrams a second that it takes in of the others (0: none may be sent), and the price of
   * one full datagram delivered for each client's first try, as a part of all worth.
   */
  public record Peers(int me, double intake, double fee) {}
}
