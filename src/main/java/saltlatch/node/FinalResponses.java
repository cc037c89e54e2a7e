package saltlatch.node;

import saltlatch.api.Ticks;
import saltlatch.node.NodeHistory.FinalOutcome;
import saltlatch.state.RequestContext;

/**
 * Gives each request its one final response, and records it. What comes for a request that has one
 * already has no effect. Owned by the event loop.
 */
final class FinalResponses {
  private final NodeHistory history;

  FinalResponses(NodeHistory history) {
    this.history = history;
  }

  /** The app server's value. */
  void succeed(RequestContext request, byte[] value) {
    record(request, FinalOutcome.SUCCEEDED);
    request.succeed(value);
  }

  /** Rejected; {@code retryAfterTicks}: the advised wait, 0 for none. */
  void reject(RequestContext request, long retryAfterTicks) {
    record(request, FinalOutcome.REJECTED);
    request.reject(retryAfterTicks / Ticks.PER_MILLISECOND);
  }

  /** Failed: it may have been executed. */
  void fail(RequestContext request) {
    record(request, FinalOutcome.FAILED);
    request.fail();
  }

  /** Its client has closed the connection: there is nobody to respond to. */
  void clientDisconnected(RequestContext request) {
    record(request, FinalOutcome.CLIENT_DISCONNECTED);
    request.clientDisconnected();
  }

  private void record(RequestContext request, FinalOutcome outcome) {
    if (!request.isFinished()) history.requestFinished(request, outcome);
  }
}
