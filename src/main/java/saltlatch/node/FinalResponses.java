package saltlatch.node;

import saltlatch.api.Ticks;
import saltlatch.node.NodeHistory.FinalOutcome;
import saltlatch.state.RequestContext;

/**
 * Sends each request exactly one final response and records it in the history. A second response to
 * the same request has no effect. Owned by the event loop.
 */
final class FinalResponses {
  private final NodeHistory history;

  FinalResponses(NodeHistory history) {
    this.history = history;
  }

  /** Sends the app server's value. */
  void succeed(RequestContext request, byte[] value) {
    record(request, FinalOutcome.SUCCEEDED);
    request.succeed(value);
  }

  /** Rejects the request; {@code retryAfterTicks} is the advised wait, or 0 for no advice. */
  void reject(RequestContext request, long retryAfterTicks) {
    record(request, FinalOutcome.REJECTED);
    request.reject(retryAfterTicks / Ticks.PER_MILLISECOND);
  }

  /** Fails the request, which an app server may have executed. */
  void fail(RequestContext request) {
    record(request, FinalOutcome.FAILED);
    request.fail();
  }

  /** Finishes the request without a response, since its client has closed the connection. */
  void clientDisconnected(RequestContext request) {
    record(request, FinalOutcome.CLIENT_DISCONNECTED);
    request.clientDisconnected();
  }

  private void record(RequestContext request, FinalOutcome outcome) {
    if (!request.isFinished()) history.requestFinished(request, outcome);
  }
}
