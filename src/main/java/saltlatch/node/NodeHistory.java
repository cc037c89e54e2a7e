package saltlatch.node;

import saltlatch.membership.FleetView;
import saltlatch.membership.MembershipMessage;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.CallResult;

/**
 * Records what this node does, so that the laboratory can compare processes afterwards. Without a
 * history directory {@link #NO_OP} stands here, and none of the classes that write are loaded: they
 * would cost each start CPU time. Called on the event loop, but for the shutdown's events, which
 * come from the JVM's shutdown hook.
 */
interface NodeHistory {
  /** Records nothing. */
  NodeHistory NO_OP = new NodeHistory() {};

  /** The process has started; {@code nodeCount}: the nodes of its fleet. */
  default void started(int nodeCount) {}

  /** The node serves. */
  default void ready() {}

  /** A configuration read anew is in force. */
  default void reloaded() {}

  /** The process has received the signal to end. */
  default void stopping() {}

  /** The process ends; {@code metrics}: those of INFO, in one line. */
  default void stopped(String metrics) {}

  /** The event loop did not run for {@code stallMs}. */
  default void stalled(long stallMs) {}

  /** A request was taken in; {@code ageTicks}: for how long it is known to have lain unread. */
  default void requestArrived(RequestContext request, long ageTicks) {}

  /** A request got its final response, or lost its client. */
  default void requestFinished(RequestContext request, FinalOutcome outcome) {}

  /** An attempt begins; {@code server}: the app server's name. */
  default void attemptStarted(RequestContext request, String server, int attempt,
      long timeoutTicks) {}

  /** An attempt ended; {@code server}: the app server's name. */
  default void attemptEnded(RequestContext request, String server, int attempt,
      CallResult result) {}

  /** The policy logged a line. */
  default void policyLogged(String text) {}

  /** A member's state changed in this node's view of the fleet. */
  default void memberChanged(int member, MembershipMessage.State state, long incarnation,
      long viewVersion) {}

  /** This node sees another part of the fleet than before. */
  default void fleetViewChanged(FleetView view, int liveMembers, long viewVersion) {}

  /** What this node may use of quotas without the counter changed. */
  default void quotaShareChanged(QuotaShareLevel level, QuotaShareValues figures) {}

  /** How a request was over. */
  enum FinalOutcome {
    SUCCEEDED,
    REJECTED,
    FAILED,
    CLIENT_DISCONNECTED
  }

  /** Which part of an even share this node may use without the counter. */
  enum QuotaShareLevel {
    /** Only the part that is never another's. */
    FLOOR,
    /** All of its own share. */
    FULL,
    /** Its own share, and what members that are gone have left. */
    TAKEN_OVER
  }

  /**
   * That part in figures, as parts of a quota that all nodes may use.
   *
   * @param currentShare         what this node may use now
   * @param evenShare   its share while all members live
   * @param floor       what it may use at least
   * @param leaseRemainingMs     for how much longer it may use its whole share
   * @param takeoverRemainingMs  for how much longer it may use what others have left
   */
  record QuotaShareValues(double currentShare, double evenShare, double floor,
      long leaseRemainingMs, long takeoverRemainingMs) {}
}
