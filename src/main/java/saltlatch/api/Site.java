package saltlatch.api;

import java.util.List;

/** What an instance reads at start, decoded once. Times are tenths of a ms, rates units a second. */
public record Site(long seed, int nodes, long tick, Rules rules, Counting counting, Peers peers,
    List<Frontend> frontends, List<Plan> plans) {

  /** Whether a request may be dispatched again after a dispatch that may have run. */
  public enum Effect {
    /** Any number of times. */
    REPLAYABLE,
    /** Idempotent by key, within the group and time in which app servers remember it. */
    UNIQUED,
    /** Only if every earlier dispatch is known not to have run. */
    NON_REPLAYABLE
  }

  /** The app servers that share their memory of idempotency keys. */
  public enum Group {
    ALL,
    ZONE,
    CELL
  }

  /**
   * A class of requests.
   *
   * @param group         where its idempotency keys are remembered
   * @param remembered    for how long they are
   * @param target        the response target
   * @param clientTimeout how long clients wait for an answer
   * @param value         worth of one request answered in its target
   */
  public record Frontend(Effect effect, Group group, long remembered, long target, long clientTimeout,
      double value) {}

  /** Rate 0: no such quota; parallel 0: no such cap; ceilingRate 0: no ceiling. */
  public record Plan(double rate, double burst, int parallel, double ceilingRate, double ceilingBurst,
      double price) {}

  /**
   * What the deployment allows and asks of every node.
   *
   * @param mustFollow    the module opens the watch of the list itself
   * @param mayCancel     a dispatch may be given up
   * @param sendCap       dispatches of one request at most
   * @param mayAdvise     denials may tell when to come back
   * @param longestPause  the longest such advice that clients heed
   * @param marksTries    clients mark their further tries
   * @param cold          for how long a started app server is cold, 0: never
   * @param coldFrom      part of its capacity that it has at its start
   * @param fallMultiple  budget of a cold app server, in multiples of its warmth times the mean rate
   * @param fallTime      window of that budget
   */
  public record Rules(boolean mustFollow, boolean mayCancel, int sendCap, boolean mayAdvise,
      long longestPause, boolean marksTries, long cold, double coldFrom, double fallMultiple,
      long fallTime) {}

  /** Whether there is a counter, and whether an answer tells the true units of its request. */
  public record Counting(boolean open, boolean unitsAfter) {}

  /**
   * This node's number, the datagrams a second that it takes in of the others (0: none may be sent), and the price of
   * one full datagram delivered for each client's first try, as a part of all worth.
   */
  public record Peers(int me, double intake, double fee) {}
}
