package saltlatch.api;

import java.util.List;

/**
 * The settings that a {@link GatewayPolicy} reads at its start. Times are in
 * {@linkplain Ticks ticks}.
 *
 * @param seed                 seed of the policy's only source of randomness
 * @param nodeCount            number of nodes of the fleet
 * @param clockResolutionTicks resolution of the clock that gives events their time
 * @param requestClasses       by the index that requests carry
 * @param quotaPlans           by the index that requests carry
 */
public record GatewaySettings(long seed, int nodeCount, long clockResolutionTicks, Limits limits,
    CounterSettings counter, PeerSettings peers, List<RequestClass> requestClasses,
    List<QuotaPlan> quotaPlans) {

  /** Whether a request may be sent again after an attempt that may have been executed. */
  public enum RetrySafety {
    /** It may be sent any number of times. */
    IDEMPOTENT,
    /** It may be sent to servers that store its idempotency key, for as long as they store it. */
    IDEMPOTENT_BY_KEY,
    /** It may be sent only if every earlier attempt is known not to have been executed. */
    NOT_IDEMPOTENT
  }

  /** The app servers that share stored idempotency keys. */
  public enum KeyScope {
    /** All app servers. */
    ALL,
    /** The servers of one zone. */
    ZONE,
    /** The servers of one key group, see {@link GatewayEvent.Endpoint#keyGroup}. */
    GROUP
  }

  /**
   * A class of requests.
   *
   * @param keyScope              the servers that share the idempotency keys of its requests
   * @param keyTtlTicks           how long servers store an idempotency key
   * @param latencyObjectiveTicks an answer that takes longer has no value any more
   * @param clientTimeoutTicks    how long clients wait for an answer
   * @param priorityWeight        value of one request that is answered within the objective
   */
  public record RequestClass(RetrySafety retrySafety, KeyScope keyScope, long keyTtlTicks,
      long latencyObjectiveTicks, long clientTimeoutTicks, double priorityWeight) {}

  /**
   * The amount that a customer may use.
   *
   * @param ratePerSecond     rate at which the quota refills, in units per second; 0 for no quota
   * @param burstUnits        the maximum number of units that the quota holds
   * @param maxConcurrent     the maximum number of requests in flight; 0 for no limit
   * @param ceilingPerSecond  rate that is never exceeded, in units per second; 0 for no ceiling
   * @param ceilingBurstUnits the maximum number of units that the ceiling holds
   * @param priorityWeight    value of the customer's requests; multiplied by that of the request
   *     class
   */
  public record QuotaPlan(double ratePerSecond, double burstUnits, int maxConcurrent,
      double ceilingPerSecond, double ceilingBurstUnits, double priorityWeight) {}

  /**
   * The rules of the deployment that apply to every node.
   *
   * @param mustOpenWatch      whether the policy opens the watch of the endpoint list itself
   * @param mayCancelAttempts  whether attempts in flight may be cancelled
   * @param maxAttempts        the maximum number of attempts per request
   * @param maySendRetryAfter  whether rejections may carry a Retry-After
   * @param maxRetryAfterTicks the longest Retry-After that clients respect
   * @param clientsMarkRetries whether clients mark their retries
   * @param warmUpTicks        how long an app server warms up after its start; 0 for no warm-up
   * @param initialCapacity    fraction of its capacity that a server has at its start
   * @param warmUpBudgetFactor budget of a server that warms up, in multiples of its capacity times
   *     the mean rate of all servers
   * @param warmUpWindowTicks  the window of that budget
   */
  public record Limits(boolean mustOpenWatch, boolean mayCancelAttempts, int maxAttempts,
      boolean maySendRetryAfter, long maxRetryAfterTicks, boolean clientsMarkRetries,
      long warmUpTicks, double initialCapacity, double warmUpBudgetFactor,
      long warmUpWindowTicks) {}

  /**
   * The shared counter.
   *
   * @param available          whether the deployment has a counter
   * @param reportsActualUnits whether answers report the units that their requests used, so that
   *     the clients' estimates are not binding
   */
  public record CounterSettings(boolean available, boolean reportsActualUnits) {}

  /**
   * Gossip between nodes.
   *
   * @param ownIndex           this node's number in the fleet
   * @param datagramsPerSecond datagrams per second that a node can receive; 0 if none may be sent
   * @param datagramPrice      cost of delivering one full datagram for each client's first attempt,
   *     as a fraction of the value of all requests
   */
  public record PeerSettings(int ownIndex, double datagramsPerSecond, double datagramPrice) {}
}
