package saltlatch.api;

import java.util.List;

/**
 * An event that a host passes to its {@link GatewayPolicy}. Times are in {@linkplain Ticks ticks};
 * {@code elapsedTicks} is the time between the action and the event that reports its outcome.
 */
public sealed interface GatewayEvent {
  /** The kind of an update of the endpoint list. */
  enum EndpointUpdateKind {
    /** Only the entries that changed. */
    DELTA,
    /** The complete list; servers that it does not contain were removed. */
    SNAPSHOT,
    /** The complete list as it was known before the start. */
    CACHED_SNAPSHOT,
    /** No list: the watch ended or could not be opened. */
    FAILED
  }

  /** Whether an app server accepts requests. */
  enum EndpointState {
    /** It completes the requests it has and accepts no new ones. */
    DRAINING,
    /** It is no longer in the endpoint list. */
    REMOVED,
    /** It accepts requests. */
    READY
  }

  /** How an attempt, a health check or a counter call ended. */
  enum AttemptOutcome {
    /** It was answered without an error. */
    SUCCEEDED,
    /** The answer reports an error; the request may have been executed. */
    SERVER_ERROR,
    /** The server or the counter refused it without executing it. */
    SERVER_BUSY,
    /** No answer arrived in time; it may have been executed or may still be. */
    TIMED_OUT,
    /** The connection could not be opened, or broke before the last byte was written. */
    CONNECT_FAILED,
    /** The connection broke after the last byte was written; it may have been executed. */
    CONNECTION_LOST,
    /** The policy cancelled it. */
    CANCELLED,
    /** The host did not send it, because the request had ended or no connection was free. */
    NOT_SENT,
    /**
     * The host asked the policy just before writing it, and it was no longer allowed; see
     * {@link GatewayPolicy#mayStartAttempt}.
     */
    WITHDRAWN;

    /** Returns whether the server or the counter cannot have executed it. */
    public boolean neverExecuted() {
      return this == SERVER_BUSY || this == CONNECT_FAILED || this == NOT_SENT || this == WITHDRAWN;
    }
  }

  /**
   * An entry of the endpoint list: an app server.
   *
   * @param serverId       the server's number within this node
   * @param startedAtTicks when the server last started; 0 if long ago
   * @param zone           index of the server's zone in the settings
   * @param keyGroup       the group of servers that share stored idempotency keys
   * @param weight         the server's capacity relative to others
   * @param machineType    index of the server's machine type in the settings
   */
  record Endpoint(long serverId, long startedAtTicks, int zone, int keyGroup, EndpointState state,
      double weight, int machineType) {}

  /**
   * The endpoint list was updated. An update of kind {@link EndpointUpdateKind#FAILED} contains no
   * endpoints.
   */
  record EndpointsUpdated(EndpointUpdateKind kind,
      List<Endpoint> endpoints) implements GatewayEvent {}

  /**
   * A client's request has arrived.
   *
   * @param requestClass       index of its class in {@link GatewaySettings#requestClasses}
   * @param plan               index of the customer's plan in {@link GatewaySettings#quotaPlans}
   * @param clientTimeoutTicks how long the client waits, counted from when it sent the request
   * @param estimatedUnits     the client's estimate of the units that the request uses of the quota
   * @param nodeCount          number of nodes that receive the customer's requests; 0 for all nodes
   * @param firstNode          the first of these nodes; the others follow by number
   * @param retry              whether the client marked the request as a retry
   * @param ageTicks           how long the request is known to have waited unread while this node
   *     was stalled
   */
  record RequestArrived(long requestId, int requestClass, int plan, long customer,
      long clientTimeoutTicks, double estimatedUnits, int nodeCount, int firstNode, boolean retry,
      long ageTicks) implements GatewayEvent {}

  /** The answer has begun to stream; the client's timeout no longer applies. */
  record ResponseStarted(long requestId, long serverId, int attempt,
      long elapsedTicks) implements GatewayEvent {}

  /**
   * An attempt has ended.
   *
   * @param attempt          the attempt's number, from 0
   * @param requestFinished  whether the client has received its answer, so that no other will be
   *     sent
   * @param actualUnits      units that the request used; 0 if the answer does not report them
   * @param fleetUtilization the customer's usage across all nodes as reported by a meter; 0 if not
   *     reported
   * @param loadReport       the server's load report; empty if the answer contained none
   */
  record AttemptEnded(long requestId, long serverId, int attempt, AttemptOutcome outcome,
      boolean requestFinished, long elapsedTicks, double actualUnits, double fleetUtilization,
      List<Double> loadReport) implements GatewayEvent {}

  /** The client closed its connection before it received its answer. */
  record ClientDisconnected(long requestId) implements GatewayEvent {}

  /** A timer set by {@link GatewayActions#setTimer} has expired. */
  record TimerFired(long timerId) implements GatewayEvent {}

  /**
   * A health check has ended.
   *
   * @param loadReport the server's load report; empty if the answer contained none
   */
  record HealthChecked(long serverId, AttemptOutcome outcome, long elapsedTicks,
      List<Double> loadReport) implements GatewayEvent {}

  /**
   * A datagram from a peer has arrived.
   *
   * @param sender the peer's number in the fleet
   */
  record GossipReceived(int sender, GossipMessage message) implements GatewayEvent {}

  /** The state of a member of the fleet as this node sees it. */
  enum MemberState {
    /** It is reachable. */
    LIVE,
    /** It is not reachable, but may still be running. */
    UNREACHABLE,
    /** The live members on this node's side have taken over its share of quotas above the floor. */
    TAKEN_OVER
  }

  /**
   * The fleet as this node sees it, if membership is enabled.
   *
   * @param states             the state of each member, by its number
   * @param leaseUntilTicks    until when this node may use its full share of quotas
   * @param takeoverUntilTicks until when it may also use its part of the shares that were taken
   *     over
   * @param nodeCount          number of nodes by which limits on all nodes together are divided
   */
  record MembershipChanged(List<MemberState> states, long leaseUntilTicks, long takeoverUntilTicks,
      int nodeCount) implements GatewayEvent {}

  /**
   * A counter call has ended.
   *
   * @param total the count after the call, if the call was answered
   */
  record CounterReplied(long counterName, AttemptOutcome outcome, double total,
      long elapsedTicks) implements GatewayEvent {}
}
