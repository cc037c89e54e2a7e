package saltlatch.node;

import saltlatch.membership.FleetView;
import saltlatch.membership.MembershipMessage;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.CallResult;

/**
 * Records this node's events, so that the laboratory can compare processes after a run. Without a
 * history directory {@link #NO_OP} is used, and the classes that write files are not loaded, which
 * saves CPU time at the start. Called on the event loop, except for {@link #stopping} and
 * {@link #stopped}, which the JVM's shutdown hook calls.
 */
interface NodeHistory {
  /** Records nothing. */
  NodeHistory NO_OP = new NodeHistory() {};

  /** The process has started; {@code nodeCount} is the number of nodes in the fleet. */
  default void started(int nodeCount) {}

  /** The node has started to serve clients. */
  default void ready() {}

  /** A reloaded configuration has taken effect. */
  default void reloaded() {}

  /** The process has received SIGTERM. */
  default void stopping() {}

  /** The process is about to exit; {@code metrics} are those of INFO, in one line. */
  default void stopped(String metrics) {}

  /** The event loop did not run for {@code stallMs}. */
  default void stalled(long stallMs) {}

  /** A request was accepted; {@code ageTicks} is the known time that it waited unread. */
  default void requestArrived(RequestContext request, long ageTicks) {}

  /** A request received its final response, or its client disconnected. */
  default void requestFinished(RequestContext request, FinalOutcome outcome) {}

  /** An attempt has started; {@code server} is the app server's name. */
  default void attemptStarted(RequestContext request, String server, int attempt,
      long timeoutTicks) {}

  /** An attempt has ended; {@code server} is the app server's name. */
  default void attemptEnded(RequestContext request, String server, int attempt,
      CallResult result) {}

  /** The policy logged a line. */
  default void policyLogged(String text) {}

  /** A member's state has changed in this node's view of the fleet. */
  default void memberChanged(int member, MembershipMessage.State state, long incarnation,
      long viewVersion) {}

  /** The part of the fleet that this node considers live has changed. */
  default void fleetViewChanged(FleetView view, int liveMembers, long viewVersion) {}

  /** The share of quotas that this node may use without the counter has changed. */
  default void quotaShareChanged(QuotaShareLevel level, QuotaShareValues values) {}

  /** How a request ended. */
  enum FinalOutcome {
    SUCCEEDED,
    REJECTED,
    FAILED,
    CLIENT_DISCONNECTED
  }

  /** Which part of its even share this node may use without the counter. */
  enum QuotaShareLevel {
    /** Only the floor, which no other node ever uses. */
    FLOOR,
    /** Its full even share. */
    FULL,
    /** Its full even share, and shares taken over from failed or departed members. */
    TAKEN_OVER
  }

  /**
   * Shares of a quota that all nodes may use, each as a fraction of the quota.
   *
   * @param currentShare        the share that this node may use now
   * @param evenShare           the share while all members are live
   * @param floor               the share that this node may always use
   * @param leaseRemainingMs    time until the lease on this node's full share expires
   * @param takeoverRemainingMs time until the lease on taken-over shares expires
   */
  record QuotaShareValues(double currentShare, double evenShare, double floor,
      long leaseRemainingMs, long takeoverRemainingMs) {}
}
