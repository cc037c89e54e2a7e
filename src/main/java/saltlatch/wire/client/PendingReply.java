package saltlatch.wire.client;

import io.vertx.core.buffer.Buffer;
import saltlatch.state.NodeMetrics.Metric;
import saltlatch.state.RequestContext;
import saltlatch.wire.resp.RespEncoder;

/**
 * The place of one command's reply among those of its connection, and the only place that knows the
 * words of final responses. Owned by the connection, on the event loop.
 */
final class PendingReply implements RequestContext.ResponseSink {
  private static final String REJECTED = "-BUSY";
  private static final String FAILED = "-ERR aborted";

  private final ClientConnection connection;
  private RequestContext request; // null: the command was no request, or was answered at once
  private Buffer reply; // null: still to come

  PendingReply(ClientConnection connection) {
    this.connection = connection;
  }

  /** This place waits for the final response of a request; null: it was answered at once. */
  void awaits(RequestContext arrived) {
    request = arrived;
  }

  @Override
  public void succeed(byte[] value) {
    connection.metrics().add(Metric.RESPONSES_SUCCEEDED);
    fill(RespEncoder.bulk(value));
  }

  @Override
  public void reject(long retryAfterMs) {
    connection.metrics().add(Metric.RESPONSES_REJECTED);
    fill(RespEncoder.line(retryAfterMs > 0 ? REJECTED + " " + retryAfterMs : REJECTED));
  }

  @Override
  public void fail() {
    connection.metrics().add(Metric.RESPONSES_FAILED);
    fill(RespEncoder.line(FAILED));
  }

  @Override
  public long readDelayTicks() {
    return connection.readDelayTicks();
  }

  /** Sets the reply, which goes out once those in front of it have. */
  void fill(Buffer text) {
    reply = text;
    connection.flushReplies();
  }

  boolean isFilled() {
    return reply != null;
  }

  /** Whether its request is in flight with no final response yet. */
  boolean isAwaitingResponse() {
    return request != null && reply == null;
  }

  RequestContext request() {
    return request;
  }

  Buffer reply() {
    return reply;
  }
}
