package saltlatch.api;

import java.util.List;

/**
 * What a {@link GatewayPolicy} reads at its start. Times are in {@linkplain Ticks ticks}.
 *
 * @param seed                 the only source of chance
 * @param nodeCount            nodes of the fleet
 * @param clockResolutionTicks the step of the clock that events come with
 * @param requestClasses       by the number that requests name
 * @param quotaPlans           by the number that requests name
 */
public record GatewaySettings(long seed, int nodeCount, long clockResolutionTicks, Limits limits,
    CounterSettings counter, PeerSettings peers, List<RequestClass> requestClasses,
    List<QuotaPlan> quotaPlans) {

  /** Whether a request may be sent again after an attempt that may have been executed. */
  public enum RetrySafety {
    /** Any number of times. */
    IDEMPOTENT,
    /** By its idempotency key, to servers that remember the key and while they do. */
    IDEMPOTENT_BY_KEY,
    /** Only if every earlier attempt is known not to have been executed. */
    NOT_IDEMPOTENT
  }

  /** The app servers that share their memory of idempotency keys. */
  public enum KeyScope {
    /** All of them. */
    ALL,
    /** Those of one zone. */
    ZONE,
    /** Those of one key group, see {@link GatewayEvent.Endpoint#keyGroup}. */
    GROUP
  }

  /**
   * A class of requests.
   *
   * @param keyScope              where its idempotency keys are remembered
   * @param keyTtlTicks           for how long they are
   * @param latencyObjectiveTicks an answer later than this is of no more use
   * @param clientTimeoutTicks    how long clients wait for an answer
   * @param priorityWeight        worth of one request answered within its objective
   */
  public record RequestClass(RetrySafety retrySafety, KeyScope keyScope, long keyTtlTicks,
      long latencyObjectiveTicks, long clientTimeoutTicks, double priorityWeight) {}

  /**
   * What a customer may use.
   *
   * @param ratePerSecond     units a second of its quota; 0: it has none
   * @param burstUnits        the most that the quota holds
   * @param maxConcurrent     requests in flight at most; 0: any number
   * @param ceilingPerSecond  units a second that are never exceeded; 0: no ceiling
   * @param ceilingBurstUnits the most that the ceiling holds
   * @param priorityWeight    worth of its requests, multiplies that of the request class
   */
  public record QuotaPlan(double ratePerSecond, double burstUnits, int maxConcurrent,
      double ceilingPerSecond, double ceilingBurstUnits, double priorityWeight) {}

  /**
   * What the deployment allows and asks of every node.
   *
   * @param mustOpenWatch      the policy opens the watch of the endpoint list itself
   * @param mayCancelAttempts  an attempt in flight may be given up
   * @param maxAttempts        attempts of one request at most
   * @param maySendRetryAfter  rejections may carry a Retry-After
   * @param maxRetryAfterTicks the longest that clients heed
   * @param clientsMarkRetries clients mark their retries
   * @param warmUpTicks        how long an app server warms up after its start; 0: not at all
   * @param initialCapacity    part of its capacity that it has at its start
   * @param warmUpBudgetFactor budget of a server that warms up, in multiples of its capacity times
   *     the mean rate of servers
   * @param warmUpWindowTicks  the window of that budget
   */
  public record Limits(boolean mustOpenWatch, boolean mayCancelAttempts, int maxAttempts,
      boolean maySendRetryAfter, long maxRetryAfterTicks, boolean clientsMarkRetries,
      long warmUpTicks, double initialCapacity, double warmUpBudgetFactor,
      long warmUpWindowTicks) {}

  /**
   * The shared counter.
   *
   * @param available          there is one
   * @param reportsActualUnits answers say how many units their requests took; estimates aren't
   *     binding
   */
  public record CounterSettings(boolean available, boolean reportsActualUnits) {}

  /**
   * Gossip between nodes.
   *
   * @param ownIndex           this node's number in the fleet
   * @param datagramsPerSecond datagrams that a node takes in; 0: none may be sent
   * @param datagramPrice      price of delivering one full datagram for each client's first
   *     attempt, as a part of the worth of all requests
   */
  public record PeerSettings(int ownIndex, double datagramsPerSecond, double datagramPrice) {}
}
