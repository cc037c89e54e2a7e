package saltlatch.api;

import java.util.List;

/**
 * What an instance reads at start, decoded once. Times are tenths of a ms, rates units a second.
 */
public record GatewaySettings(long seed, int nodeCount, long clockResolutionTicks, Limits limits,
    CounterSettings counter, PeerSettings peers, List<RequestClass> requestClasses,
    List<QuotaPlan> quotaPlans) {

  /** Whether a request may be dispatched again after a dispatch that may have run. */
  public enum RetrySafety {
    /** Any number of times. */
    IDEMPOTENT,
    /** Idempotent by key, within the group and time in which app servers remember it. */
    IDEMPOTENT_BY_KEY,
    /** Only if every earlier dispatch is known not to have run. */
    NOT_IDEMPOTENT
  }

  /** The app servers that share their memory of idempotency keys. */
  public enum KeyScope {
    ALL,
    ZONE,
    GROUP
  }

  /**
   * A class of requests.
   *
   * @param keyScope         where its idempotency keys are remembered
   * @param keyTtlTicks    for how long they are
   * @param latencyObjectiveTicks        the response target
   * @param clientTimeoutTicks how long clients wait for an answer
   * @param priorityWeight         worth of one request answered in its target
   */
  public record RequestClass(RetrySafety retrySafety, KeyScope keyScope, long keyTtlTicks,
      long latencyObjectiveTicks, long clientTimeoutTicks, double priorityWeight) {}

  /** Rate 0: no such quota; parallel 0: no such cap; ceilingRate 0: no ceiling. */
  public record QuotaPlan(double ratePerSecond, double burstUnits, int maxConcurrent,
      double ceilingPerSecond, double ceilingBurstUnits, double priorityWeight) {}

  /**
   * What the deployment allows and asks of every node.
   *
   * @param mustOpenWatch    the module opens the watch of the list itself
   * @param mayCancelAttempts     a dispatch may be given up
   * @param maxAttempts       dispatches of one request at most
   * @param maySendRetryAfter     denials may tell when to come back
   * @param maxRetryAfterTicks  the longest such advice that clients heed
   * @param clientsMarkRetries    clients mark their further tries
   * @param warmUpTicks          for how long a started app server is cold, 0: never
   * @param initialCapacity      part of its capacity that it has at its start
   * @param warmUpBudgetFactor  budget of a cold app server, in multiples of its warmth times the
   *     mean rate
   * @param warmUpWindowTicks      window of that budget
   */
  public record Limits(boolean mustOpenWatch, boolean mayCancelAttempts, int maxAttempts,
      boolean maySendRetryAfter, long maxRetryAfterTicks, boolean clientsMarkRetries,
      long warmUpTicks, double initialCapacity, double warmUpBudgetFactor,
      long warmUpWindowTicks) {}

  /** Whether there is a counter, and whether an answer tells the true units of its request. */
  public record CounterSettings(boolean available, boolean reportsActualUnits) {}

  /**
   * This node's number, the datagrams a second that it takes in of the others (0: none may be
   * sent), and the price of one full datagram delivered for each client's first try, as a part of
   * all worth.
   */
  public record PeerSettings(int ownIndex, double datagramsPerSecond, double datagramPrice) {}
}
