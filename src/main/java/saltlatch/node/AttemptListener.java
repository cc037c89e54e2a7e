package saltlatch.node;

import java.util.ArrayList;
import java.util.List;
import saltlatch.api.GatewayEvent;
import saltlatch.state.InFlightRequests;
import saltlatch.state.RequestContext;
import saltlatch.wire.appserver.AppServerClient;
import saltlatch.wire.appserver.AppServerReply;
import saltlatch.wire.resp.NamedNumbers;
import saltlatch.wire.transport.CallResult;

/**
 * Converts the results of attempts and health checks into events, and sends an app server's value
 * to the client immediately. The app server client calls it on the event loop.
 */
final class AttemptListener implements AppServerClient.Listener {
  private final List<String> loadReportFields;
  private final InFlightRequests requests;
  private final FinalResponses responses;
  private final EventBatcher events;
  private final NodeHistory history;
  private EndpointDirectory directory;

  AttemptListener(List<String> loadReportFields, InFlightRequests requests,
      FinalResponses responses, EventBatcher events, NodeHistory history) {
    this.loadReportFields = loadReportFields;
    this.requests = requests;
    this.responses = responses;
    this.events = events;
    this.history = history;
  }

  /** Sets the directory of app servers; called before the first attempt. */
  void start(EndpointDirectory endpointDirectory) {
    directory = endpointDirectory;
  }

  @Override
  public void attemptEnded(RequestContext context, int attempt, int serverId, AppServerReply reply,
      long elapsedTicks) {
    history.attemptEnded(context, directory.serverName(serverId), attempt, reply.result());
    if (reply.result() == CallResult.ANSWERED) responses.succeed(context, reply.value());
    events.add(new GatewayEvent.AttemptEnded(context.requestId(), serverId, attempt,
        reply.result().outcome(), context.isFinished(), elapsedTicks, reply.actualUnits(),
        reply.fleetUtilization(), loadReport(reply)));
    requests.attemptEnded(context);
    directory.releaseUnused();
  }

  @Override
  public boolean mayStartAttempt(RequestContext context, int attempt) {
    events.flush();
    return !context.isFinished() && events.mayStartAttempt(context.requestId(), attempt);
  }

  @Override
  public void healthCheckEnded(int serverId, AppServerReply reply, long elapsedTicks) {
    events.add(new GatewayEvent.HealthChecked(serverId, reply.result().outcome(), elapsedTicks,
        loadReport(reply)));
    directory.releaseUnused();
  }

  /** Returns the configured fields of the load report, or an empty list if none was sent. */
  private List<Double> loadReport(AppServerReply reply) {
    if (reply.loadReport().isEmpty()) return List.of();
    List<Double> values = new ArrayList<>();
    for (String field : loadReportFields) {
      values.add(NamedNumbers.find(reply.loadReport(), field));
    }
    return values;
  }
}
