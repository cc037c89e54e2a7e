package saltlatch.api;

import java.util.List;

/** What an instance of the decision module is told. Times are tenths of a ms. */
public sealed interface GatewayEvent {
  /** What a message about the list of app servers is. */
  enum EndpointUpdateKind {
    /** Entries that changed. */
    DELTA,
    /** The whole list: what it does not name is gone. */
    SNAPSHOT,
    /** The whole list as it was known before the start. */
    CACHED_SNAPSHOT,
    /** No list: the watch ended, or a call for the list failed. */
    FAILED
  }

  /** Whether an app server takes requests. */
  enum EndpointState {
    /** Finishes what it has and wants nothing new. */
    DRAINING,
    /** Off the list. */
    REMOVED,
    /** Takes requests. */
    READY
  }

  /** How a dispatch, a probe or a count call ended. */
  enum AttemptOutcome {
    SUCCEEDED,
    SERVER_ERROR,
    SERVER_BUSY,
    TIMED_OUT,
    CONNECT_FAILED,
    CONNECTION_LOST,
    CANCELLED,
    NOT_SENT,
    WITHDRAWN;

    /** The app server cannot have run it. */
    public boolean neverExecuted() {
      return this == SERVER_BUSY || this == CONNECT_FAILED || this == NOT_SENT || this == WITHDRAWN;
    }
  }

  /**
   * An app server as the list names it.
   *
   * @param serverId    its number within this node
   * @param startedAtTicks  when it last started, 0 for long ago
   * @param zone   its zone's place in the settings
   * @param keyGroup   the group within which idempotency keys are remembered
   * @param weight its capacity relative to others
   * @param machineType   its machine type's place in the settings
   */
  record Endpoint(long serverId, long startedAtTicks, int zone, int keyGroup, EndpointState state,
      double weight, int machineType) {}

  /** The list of app servers, or changes of it. */
  record EndpointsUpdated(EndpointUpdateKind kind,
      List<Endpoint> endpoints) implements GatewayEvent {}

  /**
   * A request: its client waits {@code clientTimeoutTicks} from when it sent it; the customer uses
   * {@code nodeCount} nodes from {@code firstNode} on; {@code ageTicks}: known to have lain unread
   * for so long while this node was away.
   */
  record RequestArrived(long requestId, int requestClass, int plan, long customer,
      long clientTimeoutTicks, double estimatedUnits, int nodeCount, int firstNode, boolean retry,
      long ageTicks) implements GatewayEvent {}

  /** The answer has begun to stream; the client timeout no longer runs. */
  record ResponseStarted(long requestId, long serverId, int attempt,
      long elapsedTicks) implements GatewayEvent {}

  /**
   * A dispatch ended; {@code requestFinished}: the request is over too; {@code actualUnits}: true
   * units, 0 if untold.
   */
  record AttemptEnded(long requestId, long serverId, int attempt, AttemptOutcome outcome,
      boolean requestFinished, long elapsedTicks, double actualUnits, double fleetUtilization,
      List<Double> loadReport) implements GatewayEvent {}

  /** The client closed its connection before its answer. */
  record ClientDisconnected(long requestId) implements GatewayEvent {}

  /** A timer that the module asked for has fallen due. */
  record TimerFired(long timerId) implements GatewayEvent {}

  /** A probe of an app server ended; {@code loadReport}: its load report, empty if none came. */
  record HealthChecked(long serverId, AttemptOutcome outcome, long elapsedTicks,
      List<Double> loadReport) implements GatewayEvent {}

  /** A peer's datagram. */
  record GossipReceived(int sender, GossipMessage message) implements GatewayEvent {}

  /**
   * What a member of the fleet is to this node: there, not there (but it may run), or its surplus
   * is this node's side's.
   */
  enum MemberState {
    LIVE,
    UNREACHABLE,
    TAKEN_OVER
  }

  /**
   * What this node knows of the fleet, where nodes know each other. Until {@code leaseUntilTicks}
   * it uses its whole share of quotas, until {@code takeoverUntilTicks} also what the members that
   * are gone left; {@code nodeCount}: the nodes that what all may do together is divided by.
   */
  record MembershipChanged(List<MemberState> states, long leaseUntilTicks, long takeoverUntilTicks,
      int nodeCount) implements GatewayEvent {}

  /** A call to the counter ended; {@code total}: the count behind it, where it was answered. */
  record CounterReplied(long counterName, AttemptOutcome outcome, double total,
      long elapsedTicks) implements GatewayEvent {}
}
