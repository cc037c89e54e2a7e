package saltlatch.api;

import java.util.List;

/**
 * What a host hands to its {@link GatewayPolicy}. Times are in {@linkplain Ticks ticks};
 * {@code elapsedTicks} is the time since the action that the event answers.
 */
public sealed interface GatewayEvent {
  /** What an update of the endpoint list is. */
  enum EndpointUpdateKind {
    /** Entries that changed. */
    DELTA,
    /** The whole list: what it does not name is gone. */
    SNAPSHOT,
    /** The whole list as it was known before the start. */
    CACHED_SNAPSHOT,
    /** No list: the watch ended, or could not be opened. */
    FAILED
  }

  /** Whether an app server takes requests. */
  enum EndpointState {
    /** It finishes what it has and takes nothing new. */
    DRAINING,
    /** It is off the list. */
    REMOVED,
    /** It takes requests. */
    READY
  }

  /** How an attempt, a health check or a counter call ended. */
  enum AttemptOutcome {
    /** It was answered. */
    SUCCEEDED,
    /** The answer is an error; the request may have been executed. */
    SERVER_ERROR,
    /** It was turned down without being executed. */
    SERVER_BUSY,
    /** No answer came in time; it may have been executed, or may yet be. */
    TIMED_OUT,
    /** The connection never came up, or broke before the last byte was written. */
    CONNECT_FAILED,
    /** The connection broke after that; it may have been executed. */
    CONNECTION_LOST,
    /** The policy gave it up. */
    CANCELLED,
    /** The host did not send it: the request is over, or no connection was free. */
    NOT_SENT,
    /** The host asked before writing it, and it was no longer allowed. */
    WITHDRAWN;

    /** Whether the server, or the counter, cannot have executed it. */
    public boolean neverExecuted() {
      return this == SERVER_BUSY || this == CONNECT_FAILED || this == NOT_SENT || this == WITHDRAWN;
    }
  }

  /**
   * An app server as the endpoint list names it.
   *
   * @param serverId       its number within this node
   * @param startedAtTicks when it last started; 0: long ago
   * @param zone           its zone's place in the settings
   * @param keyGroup       the group of servers that share their memory of idempotency keys
   * @param weight         its capacity relative to others
   * @param machineType    its machine type's place in the settings
   */
  record Endpoint(long serverId, long startedAtTicks, int zone, int keyGroup, EndpointState state,
      double weight, int machineType) {}

  /** The endpoint list, or changes of it; without endpoints if it failed. */
  record EndpointsUpdated(EndpointUpdateKind kind,
      List<Endpoint> endpoints) implements GatewayEvent {}

  /**
   * A client's request.
   *
   * @param requestClass       its place in {@link GatewaySettings#requestClasses}
   * @param plan               its customer's place in {@link GatewaySettings#quotaPlans}
   * @param clientTimeoutTicks how long the client waits, from when it sent the request
   * @param estimatedUnits     what it takes from the quota, by the client
   * @param nodeCount          how many nodes the customer's requests come through; 0: all
   * @param firstNode          the first of these nodes, the others follow by number
   * @param retry              the client marked it as a retry
   * @param ageTicks           how long it is known to have lain unread while this node was stalled
   */
  record RequestArrived(long requestId, int requestClass, int plan, long customer,
      long clientTimeoutTicks, double estimatedUnits, int nodeCount, int firstNode, boolean retry,
      long ageTicks) implements GatewayEvent {}

  /** The answer has begun to stream; the client's timeout no longer runs. */
  record ResponseStarted(long requestId, long serverId, int attempt,
      long elapsedTicks) implements GatewayEvent {}

  /**
   * An attempt has ended.
   *
   * @param attempt          its number, from 0
   * @param requestFinished  the client has its answer, no other will be sent
   * @param actualUnits      units the request took; 0 if the answer doesn't say
   * @param fleetUtilization the customer's use over all nodes, as a meter reports it; 0: it doesn't
   * @param loadReport       the server's load report, empty if none came
   */
  record AttemptEnded(long requestId, long serverId, int attempt, AttemptOutcome outcome,
      boolean requestFinished, long elapsedTicks, double actualUnits, double fleetUtilization,
      List<Double> loadReport) implements GatewayEvent {}

  /** The client closed its connection before its answer. */
  record ClientDisconnected(long requestId) implements GatewayEvent {}

  /** A timer that {@link GatewayActions#setTimer} asked for is due. */
  record TimerFired(long timerId) implements GatewayEvent {}

  /**
   * A health check has ended.
   *
   * @param loadReport the server's load report, empty if none came
   */
  record HealthChecked(long serverId, AttemptOutcome outcome, long elapsedTicks,
      List<Double> loadReport) implements GatewayEvent {}

  /**
   * A datagram of a peer.
   *
   * @param sender the peer's number in the fleet
   */
  record GossipReceived(int sender, GossipMessage message) implements GatewayEvent {}

  /** What a member of the fleet is to this node. */
  enum MemberState {
    /** It is there. */
    LIVE,
    /** It isn't there, but it may run. */
    UNREACHABLE,
    /** Its part of quotas beyond the floor belongs to this node's side. */
    TAKEN_OVER
  }

  /**
   * What this node knows of the fleet, where nodes know each other.
   *
   * @param states             by member
   * @param leaseUntilTicks    until then this node uses its whole share of quotas
   * @param takeoverUntilTicks until then it uses besides what members that are gone left
   * @param nodeCount          nodes that a limit on what all may do together is divided by
   */
  record MembershipChanged(List<MemberState> states, long leaseUntilTicks, long takeoverUntilTicks,
      int nodeCount) implements GatewayEvent {}

  /**
   * A counter call has ended.
   *
   * @param total the count behind it, where it was answered
   */
  record CounterReplied(long counterName, AttemptOutcome outcome, double total,
      long elapsedTicks) implements GatewayEvent {}
}
