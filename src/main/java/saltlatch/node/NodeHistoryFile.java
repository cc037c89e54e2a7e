package saltlatch.node;

import saltlatch.api.Ticks;
import saltlatch.history.HistoryWriter;
import saltlatch.membership.FleetView;
import saltlatch.membership.MembershipMessage;
import saltlatch.state.ClientRequest;
import saltlatch.state.RequestContext;
import saltlatch.wire.transport.CallResult;

/**
 * Writes a node's history to its file. It is the only class that defines the event kinds, keys and
 * values of a node's lines. The laboratory's checks also read files of earlier versions, so these
 * names must not change when names in the code do.
 */
final class NodeHistoryFile implements NodeHistory {
  private static final String ID = "id";
  private static final String SERVER = "srv";
  private static final String ATTEMPT = "dispatch";
  private static final String RESULT = "how";
  private static final String VIEW_VERSION = "view";

  private final HistoryWriter history;

  NodeHistoryFile(HistoryWriter history) {
    this.history = history;
  }

  @Override
  public void started(int nodeCount) {
    history.add("started", "nodes", nodeCount);
  }

  @Override
  public void ready() {
    history.add("ready");
  }

  @Override
  public void reloaded() {
    history.add("reloaded");
  }

  @Override
  public void stopping() {
    history.add("stops");
  }

  @Override
  public void stopped(String metrics) {
    history.add("ends", "figures", metrics);
  }

  @Override
  public void stalled(long stallMs) {
    history.add("away", "for_ms", stallMs);
  }

  @Override
  public void requestArrived(RequestContext context, long ageTicks) {
    ClientRequest request = context.request();
    history.add("arrived", ID, request.id(), "customer", Long.toHexString(request.customer()),
        "units", request.units(), "wait_ms", request.clientTimeoutMs(), "age_ms",
        ageTicks / Ticks.PER_MILLISECOND, "query", request.query());
  }

  @Override
  public void requestFinished(RequestContext context, FinalOutcome outcome) {
    history.add("answered", ID, context.request().id(), RESULT, historyName(outcome));
  }

  @Override
  public void attemptStarted(RequestContext context, String server, int attempt,
      long timeoutTicks) {
    history.add("dispatched", ID, context.request().id(), SERVER, server, ATTEMPT, attempt,
        "cap_ms", timeoutTicks / Ticks.PER_MILLISECOND);
  }

  @Override
  public void attemptEnded(RequestContext context, String server, int attempt, CallResult result) {
    history.add("ended", ID, context.request().id(), SERVER, server, ATTEMPT, attempt, RESULT,
        result.historyName());
  }

  @Override
  public void policyLogged(String text) {
    history.add("note", "text", text);
  }

  @Override
  public void memberChanged(int member, MembershipMessage.State state, long incarnation,
      long viewVersion) {
    history.add("member", "member", "n" + member, "state", historyName(state), "incarnation",
        incarnation, VIEW_VERSION, viewVersion);
  }

  @Override
  public void fleetViewChanged(FleetView view, int liveMembers, long viewVersion) {
    history.add("standing", "is", view.infoName(), "live", liveMembers, VIEW_VERSION, viewVersion);
  }

  @Override
  public void quotaShareChanged(QuotaShareLevel level, QuotaShareValues values) {
    history.add("share", "is", MembershipInfo.levelName(level), "part", values.currentShare(),
        "whole", values.evenShare(), "floor", values.floor(), "holds_ms", values.leaseRemainingMs(),
        "takes_ms", values.takeoverRemainingMs());
  }

  private static String historyName(FinalOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> "passed";
      case REJECTED -> "denied";
      case FAILED -> "aborted";
      case CLIENT_DISCONNECTED -> "left";
    };
  }

  private static String historyName(MembershipMessage.State state) {
    return switch (state) {
      case UNKNOWN -> "unknown";
      case ALIVE -> "alive";
      case SUSPECT -> "suspect";
      case FAILED -> "failed";
      case LEFT -> "left";
    };
  }
}
