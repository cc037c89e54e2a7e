package saltlatch.node;

import java.util.function.Supplier;
import saltlatch.api.GatewayEvent;
import saltlatch.api.Ticks;
import saltlatch.state.ClientRequest;
import saltlatch.state.InFlightRequests;
import saltlatch.state.NodeMetrics;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.NameIdTable;
import saltlatch.state.RequestContext;
import saltlatch.wire.client.ClientListener;

/**
 * Converts requests and disconnects of clients into events. Sends a response without the policy
 * only to a request that is invalid or exceeds the memory limit, which the policy must not receive.
 * The client listener calls it on the event loop.
 */
final class ClientRequestHandler implements ClientListener.Handler {
  private final NameIdTable requestClasses;
  private final NameIdTable quotaPlans;
  private final RequestValidator validator;
  private final InFlightRequests requests;
  private final FinalResponses responses;
  private final EventBatcher events;
  private final StallDetector stalls;
  private final NodeMetrics metrics;
  private final NodeHistory history;
  private final Supplier<String> infoText;

  ClientRequestHandler(NodeConfiguration configuration, InFlightRequests requests,
      FinalResponses responses, EventBatcher events, StallDetector stalls, NodeMetrics metrics,
      NodeHistory history, Supplier<String> infoText) {
    requestClasses = new NameIdTable(configuration.hostSettings().requestClassNames());
    quotaPlans = new NameIdTable(configuration.hostSettings().quotaPlanNames());
    validator = new RequestValidator(configuration.settings(),
        configuration.hostSettings().maxRequestUnits());
    this.requests = requests;
    this.responses = responses;
    this.events = events;
    this.stalls = stalls;
    this.metrics = metrics;
    this.history = history;
    this.infoText = infoText;
  }

  @Override
  public RequestContext requestArrived(ClientRequest request, RequestContext.ResponseSink client) {
    stalls.check();
    int requestClass = requestClasses.find(request.requestClass());
    int plan = quotaPlans.find(request.plan());
    metrics.add(Metric.REQUESTS);
    // A request with the ID of another request in flight fails: an app server would treat it as an
    // attempt of that request and would return that request's value to the wrong client.
    if (!validator.isValid(request, requestClass, plan) || requests.containsId(request.id())) {
      metrics.add(Metric.REQUESTS_INVALID);
      client.fail();
      return null;
    }
    RequestContext context = requests.register(request, client);
    if (context == null) {
      metrics.add(Metric.REQUESTS_OVER_MEMORY_LIMIT);
      client.reject(0);
      return null;
    }
    long ageTicks = client.readDelayTicks();
    stalls.requestRead(ageTicks);
    addArrival(context, requestClass, plan, ageTicks);
    return context;
  }

  private void addArrival(RequestContext context, int requestClass, int plan, long ageTicks) {
    ClientRequest request = context.request();
    history.requestArrived(context, ageTicks);
    events.addArrival(new GatewayEvent.RequestArrived(context.requestId(), requestClass, plan,
        request.customer(), request.clientTimeoutMs() * Ticks.PER_MILLISECOND, request.units(),
        request.nodeCount(), request.firstNode(), request.retry(), ageTicks));
  }

  @Override
  public void clientDisconnected(RequestContext context) {
    responses.clientDisconnected(context);
    metrics.add(Metric.CLIENT_DISCONNECTS);
    events.add(new GatewayEvent.ClientDisconnected(context.requestId()));
    requests.releaseIfComplete(context);
  }

  @Override
  public void abort(RequestContext context) {
    responses.fail(context);
    clientDisconnected(context);
  }

  @Override
  public long unattendedSinceTicks(long nowTicks) {
    return stalls.unattendedSinceTicks(nowTicks);
  }

  @Override
  public String infoText() {
    return infoText.get();
  }
}
